package org.ragwortrun.router.internal.pool;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.ragwortrun.proto.BudgetRef;

/** Reserves the tokens that a request may use. */
public interface TokenSource {
    /**
     * Reserves tokens for a request.
     *
     * @param maxDuration time after which the request has certainly ended
     * @return the reservation; fails with {@code RefusedException} if the tokens are not available
     */
    CompletableFuture<TokenReservation> reserve(BudgetRef budget, long tokens, String requestId, Duration maxDuration);
}
