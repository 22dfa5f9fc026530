package org.ragwortrun.router.internal.pool;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.ragwortrun.proto.BudgetRef;
import org.ragwortrun.proto.Usage;
import org.ragwortrun.router.internal.ledger.Grants;
import org.ragwortrun.router.internal.ledger.Reservation;
import org.ragwortrun.router.internal.ledger.SettlementQueue;

/** Reserves from the grants that this router holds. */
public final class LocalTokens implements TokenSource {
    private final Grants grants;
    private final SettlementQueue settlements;
    private final String incarnation;

    public LocalTokens(Grants grants, SettlementQueue settlements, String incarnation) {
        this.grants = grants;
        this.settlements = settlements;
        this.incarnation = incarnation;
    }

    @Override
    public CompletableFuture<Spending> reserve(BudgetRef budget, long tokens, String requestId, Duration longest) {
        return grants.reserve(budget, tokens).thenApply(LocalSpending::new);
    }

    private final class LocalSpending implements Spending {
        private final Reservation reservation;

        LocalSpending(Reservation reservation) {
            this.reservation = reservation;
        }

        @Override
        public void bill(Usage.Builder usage) {
            reservation.settle(usage.getTokens());
            settlements.add(usage.setGrantId(reservation.grantId())
                    .setIncarnation(incarnation)
                    .build());
        }

        @Override
        public void release() {
            reservation.release();
        }
    }
}
