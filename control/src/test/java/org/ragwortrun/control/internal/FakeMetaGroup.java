package org.ragwortrun.control.internal;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import org.ragwortrun.core.time.Time;
import org.ragwortrun.ledger.MetaState;
import org.ragwortrun.proto.ConfigReply;
import org.ragwortrun.proto.ConfigUpdate;
import org.ragwortrun.proto.GroupState;
import org.ragwortrun.proto.Member;
import org.ragwortrun.proto.MetaCommand;
import org.ragwortrun.proto.MetaResult;
import org.ragwortrun.proto.NotLeader;

/** An in-memory meta group with one member. */
final class FakeMetaGroup implements MetaGroup {
    final MetaState state = new MetaState(new ConfigurationCheckerRules());
    private final Time time;
    private final MetaSnapshotCache snapshots = new MetaSnapshotCache(state);
    private final List<Runnable> listeners = new ArrayList<>();
    volatile OptionalLong term = OptionalLong.of(1);

    FakeMetaGroup(Time time) {
        this.time = time;
    }

    @Override
    public int id() {
        return 0;
    }

    @Override
    public OptionalLong leasedTerm() {
        return term;
    }

    @Override
    public NotLeader hint() {
        return NotLeader.newBuilder().setLeaderName("c2").build();
    }

    @Override
    public List<Member> members() {
        return List.of();
    }

    @Override
    public GroupState state() {
        return GroupState.getDefaultInstance();
    }

    @Override
    public synchronized CompletableFuture<MetaResult> propose(MetaCommand.Builder command) {
        MetaResult result = state.apply(command.setNowMs(time.wallMillis()).build());
        listeners.forEach(Runnable::run);
        return CompletableFuture.completedFuture(result);
    }

    @Override
    public long number() {
        return state.number();
    }

    @Override
    public MetaSnapshot snapshot() {
        return snapshots.current();
    }

    @Override
    public ConfigReply configuration() {
        return state.configuration();
    }

    @Override
    public ConfigUpdate updateFrom(long number) {
        return state.updateFrom(number);
    }

    @Override
    public synchronized void onChange(Runnable listener) {
        listeners.add(listener);
    }
}
