package org.ragwortrun.control;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.ragwortrun.control.internal.ControlNode;
import org.ragwortrun.control.internal.ControlRelay;
import org.ragwortrun.control.internal.ControlSettings;
import org.ragwortrun.control.internal.EndpointDirectory;
import org.ragwortrun.control.internal.HostedGroups;
import org.ragwortrun.control.internal.MemberSupervisor;
import org.ragwortrun.control.internal.RelaySettings;
import org.ragwortrun.control.internal.RemoteMetaLeaderClient;
import org.ragwortrun.core.concurrent.Closer;
import org.ragwortrun.core.error.RagwortrunException;
import org.ragwortrun.core.id.Incarnations;
import org.ragwortrun.core.log.Event;
import org.ragwortrun.core.metrics.Metrics;
import org.ragwortrun.core.settings.Settings;
import org.ragwortrun.core.time.Time;
import org.ragwortrun.net.FrameHandler;
import org.ragwortrun.net.FrameServer;
import org.ragwortrun.net.Peer;
import org.ragwortrun.net.Transport;
import org.ragwortrun.net.control.ControlClient;
import org.ragwortrun.net.control.EndpointSource;
import org.ragwortrun.net.control.MemberSettings;
import org.ragwortrun.proto.Frame;
import org.ragwortrun.proto.Hello;
import org.ragwortrun.proto.Role;

/** A control member: the replicated groups with their files, and the tasks of their leaders. */
public final class ControlDaemon implements AutoCloseable {
    private static final Logger LOG = LogManager.getLogger(ControlDaemon.class);
    private static final int NETWORK_THREADS = 2;
    // Allows three reads within the 2 s that remain of the 3 s drain limit after the delay of the list itself.
    private static final Duration ENDPOINT_READ_INTERVAL = Duration.ofMillis(600);
    private static final Duration PROPOSAL_DRAIN_TIMEOUT = Duration.ofSeconds(2);

    private final Closer closer = new Closer();
    private final HostedGroups groups;
    private final ControlNode node;
    private final FrameServer server;

    private ControlDaemon(
            ControlSettings settings,
            Time time,
            long processStartNanos,
            MoveDriver moves,
            Optional<EndpointSource> endpoints)
            throws RagwortrunException {
        boolean started = false;
        try {
            Hello own = Hello.newBuilder()
                    .setName(settings.name())
                    .setIncarnation(Incarnations.create(settings.name(), time.wallMillis()))
                    .setRole(Role.CONTROL)
                    .setDataCenter(settings.dataCenter())
                    .build();
            Metrics metrics =
                    closer.register(Metrics.exporting(settings.listen().host(), settings.metricsPort()));
            Transport transport = closer.register(new Transport(own, NETWORK_THREADS));
            ControlClient client = closer.register(new ControlClient(transport, settings.members(), (p, f) -> {}));
            groups = closer.register(HostedGroups.open(settings, transport, time, processStartNanos, metrics));
            node = closer.register(new ControlNode(
                    settings, time, groups.meta(), groups.shards(), new RemoteMetaLeaderClient(client), moves));
            addGauges(metrics);
            endpoints.ifPresent(source -> closer.register(
                    EndpointDirectory.start(time, source, groups.meta(), node.peers(), ENDPOINT_READ_INTERVAL)));
            server = closer.register(transport.listen(settings.listen(), new Handler(groups, node)));
            started = true;
        } finally {
            if (!started) {
                closer.close();
            }
        }
        Event.of("control-started")
                .with("name", settings.name())
                .with("listen", settings.listen())
                .with("shards", settings.shards())
                .info(LOG);
    }

    /**
     * Starts a member.
     *
     * @throws RagwortrunException if the settings, the files or the address cannot be used
     */
    public static ControlDaemon start(Settings settings) throws RagwortrunException {
        Time time = Time.steady();
        return new ControlDaemon(
                ControlSettings.read(settings), time, time.nanos(), new EvidenceMoveDriver(), Optional.empty());
    }

    /**
     * Starts a member if the host has a storage folder, and a relay otherwise. While the member leads the meta group, it
     * reads the list of endpoints for the routers. A member is reopened after its storage has failed.
     *
     * @param processStartNanos monotonic start time of this process; any earlier process that used the folder had ended
     *     by then
     * @throws RagwortrunException if the settings, the files or the address cannot be used
     */
    public static AutoCloseable start(Settings settings, EndpointSource endpoints, long processStartNanos)
            throws RagwortrunException {
        if (settings.text("storage.folder", "").isBlank()) {
            return relay(settings);
        }
        ControlSettings read = ControlSettings.read(settings);
        AtomicLong nextStartNanos = new AtomicLong(processStartNanos);
        return MemberSupervisor.start(onFailure -> {
            Time time = Time.steady();
            // The previous instance of a reopened member used the folder until now.
            long startNanos = nextStartNanos.getAndUpdate(b -> time.nanos());
            ControlDaemon daemon =
                    new ControlDaemon(read, time, startNanos, new EvidenceMoveDriver(), Optional.of(endpoints));
            daemon.onFailure(onFailure);
            return daemon;
        });
    }

    private static AutoCloseable relay(Settings settings) throws RagwortrunException {
        ControlRelay relay = ControlRelay.start(RelaySettings.read(settings), Time.steady());
        Closer closer = new Closer();
        closer.register(relay);
        closer.register(MemberSettings.follow(settings, relay::configureMembers));
        return closer;
    }

    private void addGauges(Metrics metrics) {
        metrics.gauge(
                "control_meta_leader",
                "1 if this member leads the meta group",
                () -> groups.meta().leasedTerm().isPresent() ? 1 : 0);
        metrics.gauge(
                "control_shards_led",
                "Shards that this member leads",
                () -> groups.shards().stream()
                        .filter(s -> s.leasedTerm().isPresent())
                        .count());
        metrics.gauge(
                "control_config_number",
                "Configuration number that this member has applied",
                () -> groups.meta().number());
    }

    /** Sets the listener that is called once when the files of this member fail and it leaves its groups. */
    void onFailure(Runnable listener) {
        groups.onFailure(listener);
    }

    /** Returns the bound port. */
    public int port() {
        return server.port();
    }

    /** Rejects new requests, waits for pending proposals, ends the leaderships and closes the files. */
    @Override
    public void close() {
        node.drain();
        try {
            groups.awaitProposals(PROPOSAL_DRAIN_TIMEOUT);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        groups.close();
        closer.close();
        Event.of("control-stopped").info(LOG);
    }

    /** Passes messages between group members to the groups, and all other frames to the node. */
    private record Handler(HostedGroups groups, ControlNode node) implements FrameHandler {
        @Override
        public void onConnected(Peer peer) {
            node.onConnected(peer);
        }

        @Override
        public void onFrame(Peer peer, Frame frame) {
            if (frame.hasGroupMessage()) {
                groups.onFrame(peer, frame);
            } else {
                node.onFrame(peer, frame);
            }
        }

        @Override
        public void onClosed(Peer peer) {
            node.onClosed(peer);
        }
    }
}
