package org.ragwortrun.control.internal;

import java.util.concurrent.CompletableFuture;
import org.ragwortrun.core.time.Time;
import org.ragwortrun.ledger.MetaState;
import org.ragwortrun.proto.ConfigReply;
import org.ragwortrun.proto.ConfigUpdate;
import org.ragwortrun.proto.MetaCommand;
import org.ragwortrun.proto.MetaResult;
import org.ragwortrun.replication.ReplicatedGroup;

/** The meta group, backed by the replication module. */
final class HostedMetaGroup extends HostedGroup implements MetaGroup {
    private final Time time;
    private final MetaState state;
    private final MetaStateMachine machine;
    private final MetaSnapshotCache snapshots;

    HostedMetaGroup(
            ReplicatedGroup group, PendingProposals inFlight, Time time, MetaState state, MetaStateMachine machine) {
        super(0, group, inFlight);
        this.time = time;
        this.state = state;
        this.machine = machine;
        snapshots = new MetaSnapshotCache(state);
    }

    @Override
    public CompletableFuture<MetaResult> propose(MetaCommand.Builder command) {
        byte[] entry = command.setNowMs(time.wallMillis()).build().toByteArray();
        return propose(entry).thenApply(reply -> ReplyParser.parse(MetaResult.parser(), reply));
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
        return state.updateFrom(number).toBuilder()
                .setAgeMs(machine.numberAgeMs())
                .build();
    }

    @Override
    public void onChange(Runnable listener) {
        machine.onChange(listener);
    }
}
