package org.ragwortrun.router.internal.ledger;

import java.util.concurrent.CompletableFuture;
import org.ragwortrun.proto.BudgetRef;

/** The grants of this router, from which each request reserves the maximum number of tokens that it may use. */
public interface Grants extends AutoCloseable {
    /** Reserves tokens. Fails with {@code RefusedException} if they are not available. */
    CompletableFuture<Reservation> reserve(BudgetRef budget, long tokens);

    /** Returns unused tokens of a budget that its owner has recalled. */
    void recall(BudgetRef budget);

    /** Returns all unused tokens and ends the session at each shard. */
    @Override
    void close();
}
