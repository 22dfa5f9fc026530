package org.ragwortrun.router.internal.ledger;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.ragwortrun.core.id.Digests;
import org.ragwortrun.net.TransportException;
import org.ragwortrun.net.control.ControlClient;
import org.ragwortrun.proto.BudgetRef;
import org.ragwortrun.proto.ErrorReply;
import org.ragwortrun.proto.Frame;
import org.ragwortrun.proto.ShardCommand;
import org.ragwortrun.proto.ShardRequest;
import org.ragwortrun.proto.ShardResult;

/** Sends commands to the shard groups. */
public final class Shards implements BudgetOwners {
    private final ControlClient control;
    private final int count;

    public Shards(ControlClient control, int count) {
        this.control = control;
        this.count = count;
    }

    @Override
    public int count() {
        return count;
    }

    @Override
    public boolean isPartitioned() {
        return control.isPartitioned();
    }

    @Override
    public int groupOf(BudgetRef budget) {
        return Digests.shard(budget.getAccount(), count);
    }

    @Override
    public CompletableFuture<ShardResult> send(int group, ShardCommand.Builder command, Duration timeout) {
        Frame.Builder frame = Frame.newBuilder()
                .setShardRequest(ShardRequest.newBuilder().setGroup(group).setCommand(command));
        return control.call(group, frame, timeout).thenCompose(Shards::result);
    }

    /** Returns a failed future for a result whose type does not match the command. */
    static <T> CompletableFuture<T> unexpected(ShardResult result) {
        return CompletableFuture.failedFuture(error(result.getError()));
    }

    private static CompletableFuture<ShardResult> result(Frame reply) {
        if (reply.hasShardReply() && reply.getShardReply().hasCommand()) {
            ShardResult result = reply.getShardReply().getCommand();
            return result.hasError()
                    ? CompletableFuture.failedFuture(error(result.getError()))
                    : CompletableFuture.completedFuture(result);
        }
        return CompletableFuture.failedFuture(error(reply.getError()));
    }

    private static TransportException error(ErrorReply error) {
        return new TransportException(
                TransportException.Kind.PEER_ERROR, "control answered " + error.getType() + ": " + error.getDetail());
    }
}
