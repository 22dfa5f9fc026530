package org.ragwortrun.control.internal;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.ragwortrun.core.concurrent.Closer;
import org.ragwortrun.core.concurrent.Duty;
import org.ragwortrun.core.error.RagwortrunException;
import org.ragwortrun.core.log.Event;
import org.ragwortrun.core.time.Time;
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
 * A control process on a host without storage: it is no member, and leads callers to the leader.
 *
 * <p>Settings may name such a host as the only way into the fleet, so it answers each request with where the leader is,
 * and at the first start it brings the hosts with storage together.
 */
public final class ControlRelay implements AutoCloseable {
    private static final Logger LOG = LogManager.getLogger(ControlRelay.class);
    private static final int META_GROUP = 0;
    private static final long ASK_MS = 1_000;
    private static final Duration ASK_TIMEOUT = Duration.ofMillis(800);
    // After this time without any leader an operator should look at the hosts that were to have storage.
    private static final int ASKS_TO_WARN = 15;

    private final RelaySettings settings;
    private final Time time;
    private final ControlClient client;
    private final Founding founding;
    private final Closer closer = new Closer();
    private int unanswered;

    private ControlRelay(RelaySettings settings, Time time) throws RagwortrunException {
        this.settings = settings;
        this.time = time;
        founding = new Founding(settings.name(), settings.bootstrap());
        Hello own = Hello.newBuilder()
                .setName(settings.name())
                .setRole(Role.RELAY)
                .setDataCenter(settings.dataCenter())
                .build();
        boolean started = false;
        try {
            Transport transport = closer.register(new Transport(own, 1));
            client = closer.register(new ControlClient(transport, settings.others(), (p, f) -> {}));
            closer.register(transport.listen(settings.listen(), new Handler()));
            ScheduledExecutorService timer = Duty.timer("relay-timer");
            closer.register(() -> Duty.stop(timer));
            Duty.repeat(timer, this::ask, ASK_MS, ASK_MS);
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

    @Override
    public void close() {
        closer.close();
        Event.of("control-relay-stopped").info(LOG);
    }

    /** Keeps in mind who leads and who the members are. */
    private void ask() {
        client.call(META_GROUP, Frame.newBuilder().setHeartbeat(Heartbeat.getDefaultInstance()), ASK_TIMEOUT)
                .whenComplete((reply, failure) -> {
                    unanswered = reply == null ? unanswered + 1 : 0;
                    if (unanswered % ASKS_TO_WARN == ASKS_TO_WARN - 1) {
                        Event.of("no-control-member")
                                .with("unanswered", unanswered)
                                .with("check", "storage.folder on the hosts of control.members")
                                .warn(LOG);
                    }
                });
    }

    /** Answers requests with where the leader is, and requests to join with what a relay is. */
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
            Member asking = message.getJoinRequest().getMember();
            client.learn(asking.getName(), asking.getAddress());
            List<Member> founders;
            synchronized (founding) {
                founders =
                        founding.onRequest(message.getGroup(), message.getJoinRequest(), client.relays(), time.nanos());
            }
            peer.send(Frame.newBuilder()
                    .setGroupMessage(GroupMessage.newBuilder()
                            .setGroup(message.getGroup())
                            .setFrom(settings.name())
                            .setToIdentity(asking.getIdentity())
                            .setJoinReply(JoinReply.newBuilder()
                                    .setWithoutStorage(true)
                                    .setReason("without-storage")
                                    .addAllFounders(founders)))
                    .build());
        }
    }
}
