package org.ragwortrun.control.internal;

import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.ragwortrun.core.time.Time;
import org.ragwortrun.ledger.GrantPolicy;
import org.ragwortrun.ledger.SessionState;
import org.ragwortrun.ledger.ShardState;
import org.ragwortrun.proto.GroupState;
import org.ragwortrun.proto.Member;
import org.ragwortrun.proto.NotLeader;
import org.ragwortrun.proto.ShardCommand;
import org.ragwortrun.proto.ShardReply;
import org.ragwortrun.proto.ShardRequest;
import org.ragwortrun.proto.ShardResult;

/** An in-memory shard group with one member. */
final class FakeShardGroup implements ShardGroup {
    final ShardState state = new ShardState(GrantPolicy.demand());
    final AtomicInteger termReads = new AtomicInteger();
    private final Time time;
    private final int id;
    volatile OptionalLong term = OptionalLong.of(1);
    volatile boolean failing;

    FakeShardGroup(Time time) {
        this(time, 1);
    }

    FakeShardGroup(Time time, int id) {
        this.time = time;
        this.id = id;
    }

    @Override
    public int id() {
        return id;
    }

    @Override
    public OptionalLong leasedTerm() {
        termReads.incrementAndGet();
        if (failing) {
            throw new IllegalStateException("test");
        }
        return term;
    }

    @Override
    public NotLeader hint() {
        return NotLeader.newBuilder().setGroup(1).setLeaderName("c2").build();
    }

    @Override
    public List<Member> members() {
        return List.of();
    }

    @Override
    public GroupState state() {
        return GroupState.newBuilder().setGroup(1).build();
    }

    @Override
    public CompletableFuture<ShardResult> propose(ShardCommand.Builder command) {
        return CompletableFuture.completedFuture(
                state.apply(command.setNowMs(time.wallMillis()).build()));
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
