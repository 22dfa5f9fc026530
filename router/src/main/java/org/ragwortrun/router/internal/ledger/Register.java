package org.ragwortrun.router.internal.ledger;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.ragwortrun.net.TransportException;
import org.ragwortrun.proto.BudgetRef;
import org.ragwortrun.proto.Claim;
import org.ragwortrun.proto.ClaimResult;
import org.ragwortrun.proto.Resolve;
import org.ragwortrun.proto.Resolved;
import org.ragwortrun.proto.RunState;
import org.ragwortrun.proto.ShardCommand;
import org.ragwortrun.proto.ShardResult;

/** Claims and resolves request ids in the register of the shard that owns the budget. */
public final class Register {
    private final Shards shards;
    private final Duration timeout;

    public Register(Shards shards, Duration timeout) {
        this.shards = shards;
        this.timeout = timeout;
    }

    /** Claims a request id. Fails with {@link TransportException} if the result is unknown. */
    public CompletableFuture<ClaimResult> claim(Claim claim) {
        return send(claim.getBudget(), ShardCommand.newBuilder().setClaim(claim))
                .thenCompose(
                        r -> r.hasClaim() ? CompletableFuture.completedFuture(r.getClaim()) : Shards.unexpected(r));
    }

    /** Records the run state of an attempt. */
    public CompletableFuture<Resolved> resolve(BudgetRef budget, String requestId, int attempt, RunState run) {
        Resolve resolve = Resolve.newBuilder()
                .setBudget(budget)
                .setRequestId(requestId)
                .setAttempt(attempt)
                .setRun(run)
                .build();
        return send(budget, ShardCommand.newBuilder().setResolve(resolve))
                .thenCompose(r ->
                        r.hasResolved() ? CompletableFuture.completedFuture(r.getResolved()) : Shards.unexpected(r));
    }

    private CompletableFuture<ShardResult> send(BudgetRef budget, ShardCommand.Builder command) {
        return shards.send(shards.groupOf(budget), command, timeout);
    }
}
