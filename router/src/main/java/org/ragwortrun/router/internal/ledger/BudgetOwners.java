package org.ragwortrun.router.internal.ledger;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.ragwortrun.proto.BudgetRef;
import org.ragwortrun.proto.ShardCommand;
import org.ragwortrun.proto.ShardResult;

/** The groups that own the budgets. */
interface BudgetOwners {
    /** Returns the group that owns a budget. */
    int of(BudgetRef budget);

    /** Tells whether this host hears no control member, while other hosts may. */
    boolean isCutOff();

    /** Sends a command; fails with {@code TransportException} if there is no result. */
    CompletableFuture<ShardResult> send(int group, ShardCommand.Builder command, Duration timeout);
}
