package org.ragwortrun.router.internal.pool;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.ragwortrun.proto.BudgetRef;

/** Where a router reserves the tokens that a request may consume. */
public interface TokenSource {
    /**
     * Reserves tokens for a request.
     *
     * @param longest time after which the request has certainly ended
     * @return the reservation; fails with {@code RefusedException} if the tokens cannot be had
     */
    CompletableFuture<Spending> reserve(BudgetRef budget, long tokens, String requestId, Duration longest);
}
