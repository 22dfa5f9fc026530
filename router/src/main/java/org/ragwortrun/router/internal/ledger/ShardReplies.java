package org.ragwortrun.router.internal.ledger;

import java.util.concurrent.CompletableFuture;
import org.ragwortrun.net.TransportException;
import org.ragwortrun.proto.ErrorReply;
import org.ragwortrun.proto.Frame;
import org.ragwortrun.proto.ShardResult;

/** Reads replies of shard groups. */
final class ShardReplies {
    private ShardReplies() {}

    /** Returns the result of a command; fails with {@link TransportException} if the reply is an error. */
    static CompletableFuture<ShardResult> result(Frame reply) {
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
