package org.ragwortrun.control.internal;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.ragwortrun.core.time.Time;
import org.ragwortrun.ledger.SessionState;
import org.ragwortrun.ledger.ShardState;
import org.ragwortrun.proto.ShardCommand;
import org.ragwortrun.proto.ShardReply;
import org.ragwortrun.proto.ShardRequest;
import org.ragwortrun.proto.ShardResult;
import org.ragwortrun.replication.ReplicatedGroup;

/** A shard group, backed by the replication module. */
final class HostedShardGroup extends HostedGroup implements ShardGroup {
    private final Time time;
    private final ShardState state;

    HostedShardGroup(int id, ReplicatedGroup group, PendingProposals inFlight, Time time, ShardState state) {
        super(id, group, inFlight);
        this.time = time;
        this.state = state;
    }

    @Override
    public CompletableFuture<ShardResult> propose(ShardCommand.Builder command) {
        byte[] entry = command.setNowMs(time.wallMillis()).build().toByteArray();
        return propose(entry).thenApply(reply -> ReplyParser.parse(ShardResult.parser(), reply));
    }

    @Override
    public ShardReply query(ShardRequest request) {
        return state.query(request);
    }

    @Override
    public List<SessionState> sessions() {
        return state.sessions();
    }
}
