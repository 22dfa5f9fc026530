package org.ragwortrun.router.internal.pool;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.ragwortrun.proto.BudgetRef;
import org.ragwortrun.proto.Usage;
import org.ragwortrun.router.internal.ledger.Grants;
import org.ragwortrun.router.internal.ledger.Reservation;

/** Tests the bills of reservations from a router's own grants. */
final class LocalTokensTest {
    private static final BudgetRef BUDGET =
            BudgetRef.newBuilder().setAccount("a").setService("*").build();
    private static final Duration MAX_DURATION = Duration.ofSeconds(1);

    private final List<Usage> bills = new ArrayList<>();
    private final LocalTokens tokens = new LocalTokens(new UnlimitedGrants(), bills::add, "r@1");

    /**
     * Guards against overspending. The ledger bills each bill id once, and a caller may use one request id for several
     * requests, including requests whose router was lost and whose home bills the whole reservation.
     */
    @Test
    void billsEachReservationUnderUniqueId() throws Exception {
        for (int i = 0; i < 2; i++) {
            tokens.reserve(BUDGET, 100, "q1", MAX_DURATION)
                    .get()
                    .bill(Usage.newBuilder()
                            .setBudget(BUDGET)
                            .setRequestId("q1")
                            .setTokens(100));
        }
        assertThat(bills).hasSize(2);
        assertThat(bills.get(0).getRequestId()).startsWith("q1/");
        assertThat(bills.get(1).getRequestId()).isNotEqualTo(bills.get(0).getRequestId());
        assertThat(bills.get(0).getIncarnation()).isEqualTo("r@1");
    }

    /** Grants every reservation. */
    private static final class UnlimitedGrants implements Grants {
        @Override
        public CompletableFuture<Reservation> reserve(BudgetRef budget, long tokens) {
            return CompletableFuture.completedFuture(new Reservation() {
                @Override
                public String grantId() {
                    return "r@1-1";
                }

                @Override
                public void settle(long used) {}

                @Override
                public void release() {}

                @Override
                public void hold(String requestId) {}
            });
        }

        @Override
        public void recall(BudgetRef budget) {}

        @Override
        public void close() {}
    }
}
