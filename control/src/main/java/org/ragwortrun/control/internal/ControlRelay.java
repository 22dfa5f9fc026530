package org.ragwortrun.control.internal;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ScheduledExecutorService;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.ragwortrun.core.concurrent.Closer;
import org.ragwortrun.core.concurrent.SingleThreadExecutor;
import org.ragwortrun.core.error.RagwortrunException;
import org.ragwortrun.core.log.Event;
import org.ragwortrun.core.time.Time;
import org.ragwortrun.net.Address;
import org.ragwortrun.net.FrameHandler;
import org.ragwortrun.net.Peer;
import org.ragwortrun.net.Transport;
import org.ragwortrun.net.control.ControlClient;
import org.ragwortrun.proto.Frame;
import org.ragwortrun.proto.GroupMessage;
import org.ragwortrun.proto.Heartbeat;
import org.ragwortrun.proto.Hello;
import org.ragwortrun.proto.JoinReply;
import org.ragwortrun.proto.Member;
import org.ragwortrun.proto.Role;

/**
 * A control process on a host without storage: it is not a member, and redirects callers to the leader.
 *
 * <p>Settings may list only such hosts as control members. It therefore answers each request with the address of the
 * leader, and at the first start of the system it coordinates the bootstrap of the groups on the hosts with storage.
 */
public final class ControlRelay implements AutoCloseable {
    private static final Logger LOG = LogManager.getLogger(ControlRelay.class);
    private static final int META_GROUP = 0;
    private static final long POLL_INTERVAL_MS = 1_000;
    private static final Duration POLL_TIMEOUT = Duration.ofMillis(800);
    // Warns after about 15 s without a leader: the hosts that should have storage may be misconfigured.
    private static final int POLLS_BEFORE_WARNING = 15;

    private final RelaySettings settings;
    private final Time time;
    private final ControlClient client;
    private final BootstrapCoordinator bootstrapCoordinator;
    private final Closer closer = new Closer();
    private int failedPolls;

    private ControlRelay(RelaySettings settings, Time time) throws RagwortrunException {
        this.settings = settings;
        this.time = time;
        bootstrapCoordinator = new BootstrapCoordinator(settings.name(), settings.bootstrap());
        Hello own = Hello.newBuilder()
                .setName(settings.name())
                .setRole(Role.RELAY)
                .setDataCenter(settings.dataCenter())
                .build();
        boolean started = false;
        try {
            Transport transport = closer.register(new Transport(own, 1));
            client = closer.register(new ControlClient(transport, settings.others(settings.members()), (p, f) -> {}));
            closer.register(transport.listen(settings.listen(), new Handler()));
            ScheduledExecutorService timer = SingleThreadExecutor.timer("relay-timer");
            closer.register(() -> SingleThreadExecutor.stop(timer));
            SingleThreadExecutor.repeat(timer, this::pollLeader, POLL_INTERVAL_MS, POLL_INTERVAL_MS);
            started = true;
        } finally {
            if (!started) {
                closer.close();
            }
        }
        Event.of("control-relay-started")
                .with("name", settings.name())
                .with("listen", settings.listen())
                .with("reason", "storage.folder is empty")
                .info(LOG);
    }

    /**
     * Starts a relay.
     *
     * @throws RagwortrunException if the address cannot be bound
     */
    public static ControlRelay start(RelaySettings settings, Time time) throws RagwortrunException {
        return new ControlRelay(settings, time);
    }

    /** Replaces the control members of the settings, which may name this host. */
    public void configureMembers(Map<String, Address> members) {
        client.configure(settings.others(members));
    }

    @Override
    public void close() {
        closer.close();
        Event.of("control-relay-stopped").info(LOG);
    }

    /** Refreshes the client's view of the leader and the members. */
    private void pollLeader() {
        client.call(META_GROUP, Frame.newBuilder().setHeartbeat(Heartbeat.getDefaultInstance()), POLL_TIMEOUT)
                .whenComplete((reply, failure) -> {
                    failedPolls = reply == null ? failedPolls + 1 : 0;
                    if (failedPolls % POLLS_BEFORE_WARNING == POLLS_BEFORE_WARNING - 1) {
                        Event.of("no-control-member")
                                .with("unanswered", failedPolls)
                                .with("check", "storage.folder on the hosts of control.members")
                                .warn(LOG);
                    }
                });
    }

    /** Redirects requests to the leader, and replies to join requests that this host has no storage. */
    private final class Handler implements FrameHandler {
        @Override
        public void onFrame(Peer peer, Frame frame) {
            if (frame.hasGroupMessage()) {
                onGroupMessage(peer, frame.getGroupMessage());
            } else if (frame.getCall() != 0) {
                int group = frame.getShardRequest().getGroup();
                peer.send(Frame.newBuilder()
                        .setCall(frame.getCall())
                        .setNotLeader(client.hint(group))
                        .build());
            }
        }

        private void onGroupMessage(Peer peer, GroupMessage message) {
            if (!message.hasJoinRequest()) {
                return;
            }
            Member joining = message.getJoinRequest().getMember();
            client.learn(joining.getName(), joining.getAddress());
            List<Member> initialMembers;
            synchronized (bootstrapCoordinator) {
                initialMembers = bootstrapCoordinator.onRequest(
                        message.getGroup(), message.getJoinRequest(), client.relays(), time.nanos());
            }
            peer.send(Frame.newBuilder()
                    .setGroupMessage(GroupMessage.newBuilder()
                            .setGroup(message.getGroup())
                            .setFrom(settings.name())
                            .setToIdentity(joining.getIdentity())
                            .setJoinReply(JoinReply.newBuilder()
                                    .setWithoutStorage(true)
                                    .setReason("without-storage")
                                    .addAllFounders(initialMembers)))
                    .build());
        }
    }
}
