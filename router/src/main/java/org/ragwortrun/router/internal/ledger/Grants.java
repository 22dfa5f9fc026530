package org.ragwortrun.router.internal.ledger;

import java.util.concurrent.CompletableFuture;
import org.ragwortrun.proto.BudgetRef;

/** The grants of this router, from which requests reserve their worst case. */
public interface Grants extends AutoCloseable {
    /** Reserves tokens. Fails with {@code RefusedException} if they cannot be had. */
    CompletableFuture<Reservation> reserve(BudgetRef budget, long tokens);

    /** Returns unused tokens of a budget, because the owner asked for them. */
    void recall(BudgetRef budget);

    /** Returns all unused tokens and ends the session at each shard. */
    @Override
    void close();
}
