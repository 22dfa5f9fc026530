package org.ragwortrun.control.internal;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.ragwortrun.core.metrics.Metrics;
import org.ragwortrun.core.settings.SettingsException;
import org.ragwortrun.core.time.Time;
import org.ragwortrun.ledger.GrantPolicy;
import org.ragwortrun.ledger.MetaState;
import org.ragwortrun.ledger.ShardState;
import org.ragwortrun.net.Peer;
import org.ragwortrun.net.Transport;
import org.ragwortrun.proto.Evacuation;
import org.ragwortrun.proto.Frame;
import org.ragwortrun.replication.CorruptLogException;
import org.ragwortrun.replication.GroupHost;
import org.ragwortrun.replication.HostSettings;
import org.ragwortrun.replication.StateMachine;
import org.ragwortrun.replication.StorageException;

/** This member's replicas of all groups: the meta group and the shards, with their files. */
public final class HostedGroups implements AutoCloseable {
    private final GroupHost host;
    private final MetaGroup meta;
    private final List<ShardGroup> shards = new ArrayList<>();
    private final PendingProposals inFlight = new PendingProposals();

    private HostedGroups(
            GroupHost host, Time time, MetaState metaState, MetaStateMachine metaMachine, List<ShardState> states) {
        this.host = host;
        meta = new HostedMetaGroup(host.group(0), inFlight, time, metaState, metaMachine);
        for (int i = 1; i <= states.size(); i++) {
            shards.add(new HostedShardGroup(i, host.group(i), inFlight, time, states.get(i - 1)));
        }
    }

    /**
     * Restores and starts the groups.
     *
     * @param startNanos monotonic time after which no earlier process has used the folder
     * @throws CorruptLogException if stored state is damaged
     * @throws StorageException if the data folder cannot be used
     * @throws SettingsException if the number of shards has changed
     */
    public static HostedGroups open(
            ControlSettings settings, Transport transport, Time time, long startNanos, Metrics metrics)
            throws CorruptLogException, StorageException, SettingsException {
        ShardCountFile.check(settings.folder(), settings.shards());
        Map<Integer, StateMachine> machines = new TreeMap<>();
        MetaState metaState = new MetaState(new ConfigurationCheckerRules());
        metrics.gauge(
                "evacuated_data_centers",
                "Data centers whose endpoints get no requests, as applied by this member",
                () -> metaState.evacuations().stream()
                        .filter(Evacuation::getActive)
                        .count());
        MetaStateMachine metaMachine = new MetaStateMachine(metaState, time);
        machines.put(0, metaMachine);
        List<ShardState> states = new ArrayList<>();
        for (int i = 1; i <= settings.shards(); i++) {
            ShardState state = new ShardState(GrantPolicy.demand());
            states.add(state);
            machines.put(i, new ShardStateMachine(state));
        }
        HostSettings hostSettings = HostSettings.of(
                        settings.name(), settings.folder(), settings.members(), settings.bootstrap())
                .withElectionTimeout(settings.electionTimeout())
                .withSnapshotLimits(settings.snapshotEntries(), settings.snapshotBytes());
        GroupHost host = GroupHost.open(hostSettings, machines, transport, time, startNanos, metrics);
        return new HostedGroups(host, time, metaState, metaMachine, states);
    }

    public MetaGroup meta() {
        return meta;
    }

    public List<ShardGroup> shards() {
        return shards;
    }

    /** Handles a message of another member. */
    public void onFrame(Peer peer, Frame frame) {
        host.onFrame(peer, frame);
    }

    /** Sets the listener that is called once when the files of a group fail. */
    public void onFailure(Runnable listener) {
        host.onFailure(listener);
    }

    /** Waits until no proposal is pending, or until the timeout expires. */
    public void awaitProposals(Duration timeout) throws InterruptedException {
        inFlight.await(timeout);
    }

    /** Ends this member's leaderships, then closes the files. */
    @Override
    public void close() {
        host.close();
    }
}
