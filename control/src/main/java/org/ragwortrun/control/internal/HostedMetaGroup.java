package org.ragwortrun.control.internal;

import java.util.concurrent.CompletableFuture;
import org.ragwortrun.core.time.Time;
import org.ragwortrun.ledger.MetaState;
import org.ragwortrun.proto.ConfigReply;
import org.ragwortrun.proto.ConfigUpdate;
import org.ragwortrun.proto.MetaCommand;
import org.ragwortrun.proto.MetaResult;
import org.ragwortrun.replication.ReplicatedGroup;

/** The meta group as a group of the replication module. */
final class HostedMetaGroup extends HostedGroup implements MetaGroup {
    private final Time time;
    private final MetaState state;
    private final MetaMachine machine;
    private final MetaSnapshots snapshots;

    HostedMetaGroup(ReplicatedGroup group, InFlight inFlight, Time time, MetaState state, MetaMachine machine) {
        super(0, group, inFlight);
        this.time = time;
        this.state = state;
        this.machine = machine;
        snapshots = new MetaSnapshots(state);
    }

    @Override
    public CompletableFuture<MetaResult> propose(MetaCommand.Builder command) {
        byte[] entry = command.setNowMs(time.wallMillis()).build().toByteArray();
        return propose(entry).thenApply(reply -> Replied.read(MetaResult.parser(), reply));
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
    public void onChange(Runnable listener) {
        machine.onChange(listener);
    }
}
