package org.ragwortrun.router.internal.pool;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.ragwortrun.proto.BudgetRef;
import org.ragwortrun.proto.Usage;
import org.ragwortrun.router.internal.ledger.Grants;
import org.ragwortrun.router.internal.ledger.Reservation;

/** Reserves from the grants that this router holds. */
public final class LocalTokens implements TokenSource {
    private final Grants grants;
    private final Consumer<Usage> settlements;
    private final String incarnation;
    private final BillIds bills;

    public LocalTokens(Grants grants, Consumer<Usage> settlements, String incarnation) {
        this.grants = grants;
        this.settlements = settlements;
        this.incarnation = incarnation;
        bills = new BillIds(incarnation);
    }

    @Override
    public CompletableFuture<TokenReservation> reserve(
            BudgetRef budget, long tokens, String requestId, Duration maxDuration) {
        return grants.reserve(budget, tokens).thenApply(LocalReservation::new);
    }

    private final class LocalReservation implements TokenReservation {
        private final Reservation reservation;

        LocalReservation(Reservation reservation) {
            this.reservation = reservation;
        }

        @Override
        public void bill(Usage.Builder usage) {
            reservation.settle(usage.getTokens());
            settlements.accept(usage.setRequestId(bills.next(usage.getRequestId()))
                    .setGrantId(reservation.grantId())
                    .setIncarnation(incarnation)
                    .build());
        }

        @Override
        public void release() {
            reservation.release();
        }
    }
}
