package org.ragwortrun.router.internal.ledger;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.ragwortrun.core.id.Digests;
import org.ragwortrun.net.TransportException;
import org.ragwortrun.net.control.ControlClient;
import org.ragwortrun.proto.BudgetRef;
import org.ragwortrun.proto.Claim;
import org.ragwortrun.proto.ClaimResult;
import org.ragwortrun.proto.Frame;
import org.ragwortrun.proto.Resolve;
import org.ragwortrun.proto.Resolved;
import org.ragwortrun.proto.RunState;
import org.ragwortrun.proto.ShardCommand;
import org.ragwortrun.proto.ShardRequest;
import org.ragwortrun.proto.ShardResult;

/** Claims and resolves request ids in the register of their shard. */
public final class Register {
    private final ControlClient control;
    private final int shards;
    private final Duration timeout;

    public Register(ControlClient control, int shards, Duration timeout) {
        this.control = control;
        this.shards = shards;
        this.timeout = timeout;
    }

    /** Claims a request id. Fails with {@link TransportException} if the answer is not known. */
    public CompletableFuture<ClaimResult> claim(Claim claim) {
        return send(claim.getBudget(), ShardCommand.newBuilder().setClaim(claim)).thenCompose(r -> r.hasClaim()
                ? CompletableFuture.completedFuture(r.getClaim())
                : unexpected(r));
    }

    /** Records what became of an attempt. */
    public CompletableFuture<Resolved> resolve(BudgetRef budget, String requestId, int attempt, RunState run) {
        Resolve resolve = Resolve.newBuilder()
                .setBudget(budget)
                .setRequestId(requestId)
                .setAttempt(attempt)
                .setRun(run)
                .build();
        return send(budget, ShardCommand.newBuilder().setResolve(resolve)).thenCompose(r -> r.hasResolved()
                ? CompletableFuture.completedFuture(r.getResolved())
                : unexpected(r));
    }

    private CompletableFuture<ShardResult> send(BudgetRef budget, ShardCommand.Builder command) {
        int group = Digests.shard(budget.getAccount(), shards);
        Frame.Builder frame = Frame.newBuilder()
                .setShardRequest(ShardRequest.newBuilder().setGroup(group).setCommand(command));
        return control.call(group, frame, timeout).thenCompose(ShardReplies::result);
    }

    private static <T> CompletableFuture<T> unexpected(ShardResult result) {
        return CompletableFuture.failedFuture(new TransportException(
                TransportException.Kind.PEER_ERROR,
                result.getError().getType() + " " + result.getError().getDetail()));
    }
}
