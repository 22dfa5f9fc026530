package org.ragwortrun.router.internal.ledger;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.ragwortrun.proto.BudgetRef;
import org.ragwortrun.proto.ShardCommand;
import org.ragwortrun.proto.ShardResult;

/** The shard groups that own the budgets. */
public interface BudgetOwners {
    /** Returns the number of groups, which are numbered from 1. */
    int count();

    /** Returns the group that owns a budget. */
    int groupOf(BudgetRef budget);

    /** Returns whether this host reaches no control member, while other hosts may reach one. */
    boolean isPartitioned();

    /** Sends a command to a group. Fails with {@code TransportException} if there is no result. */
    CompletableFuture<ShardResult> send(int group, ShardCommand.Builder command, Duration timeout);
}
