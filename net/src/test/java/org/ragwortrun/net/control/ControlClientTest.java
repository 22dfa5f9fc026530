package org.ragwortrun.net.control;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.ragwortrun.core.concurrent.Causes;
import org.ragwortrun.core.concurrent.Closer;
import org.ragwortrun.net.Address;
import org.ragwortrun.net.FrameHandler;
import org.ragwortrun.net.FrameServer;
import org.ragwortrun.net.Peer;
import org.ragwortrun.net.Transport;
import org.ragwortrun.net.TransportException;
import org.ragwortrun.proto.ConfigQuery;
import org.ragwortrun.proto.ConfigReply;
import org.ragwortrun.proto.ConfigUpdate;
import org.ragwortrun.proto.Frame;
import org.ragwortrun.proto.Heartbeat;
import org.ragwortrun.proto.Hello;
import org.ragwortrun.proto.Member;
import org.ragwortrun.proto.NotLeader;
import org.ragwortrun.proto.Role;

final class ControlClientTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(10);
    private static final Duration SHORT_TIMEOUT = Duration.ofMillis(200);
    private static final int POLLS = 400;
    private static final long POLL_MS = 10;

    private final Closer closer = new Closer();

    @AfterEach
    void stop() {
        closer.close();
    }

    /** Guards against a client that finds no leader after all configured members have been replaced. */
    @Test
    void connectsToLeaderNamedInReply() throws Exception {
        FrameServer leader = listen(
                "c9",
                (peer, frame) -> peer.send(Frame.newBuilder()
                        .setCall(frame.getCall())
                        .setConfigReply(ConfigReply.getDefaultInstance())
                        .build()));
        FrameServer member = listen(
                "c1",
                (peer, frame) -> peer.send(Frame.newBuilder()
                        .setCall(frame.getCall())
                        .setNotLeader(NotLeader.newBuilder()
                                .setLeaderName("c9")
                                .setLeaderAddress("127.0.0.1:" + leader.port()))
                        .build()));
        ControlClient client = client(member.port());
        Frame reply = client.call(0, Frame.newBuilder().setConfigQuery(ConfigQuery.getDefaultInstance()), TIMEOUT)
                .get(TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
        assertThat(reply.hasConfigReply()).isTrue();
        assertThat(client.leader(0)).hasValue("c9");
    }

    /** Guards against calls that go to the earlier leader although another one has announced itself. */
    @Test
    void callsLeaderThatAnnouncedItself() throws Exception {
        FrameServer first = listen("c1", heartbeats(1));
        FrameServer second = listen("c2", new AnnouncingLeader(2));
        ControlClient client = closer.register(new ControlClient(
                transport("r1"),
                Map.of("c1", new Address("127.0.0.1", first.port()), "c2", new Address("127.0.0.1", second.port())),
                (peer, frame) -> {}));
        for (int i = 0; i < POLLS && !client.leader(0).equals(Optional.of("c2")); i++) {
            Thread.sleep(POLL_MS);
        }
        assertThat(client.leader(0)).hasValue("c2");
        Frame reply = client.call(0, Frame.newBuilder().setHeartbeat(Heartbeat.getDefaultInstance()), TIMEOUT)
                .get(TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
        assertThat(reply.getHeartbeat().getTerm()).isEqualTo(2);
    }

    /** Guards against calls that wander among the members while the leader sends changes on an open connection. */
    @Test
    void keepsSilentLeaderThatSendsChanges() throws Exception {
        FrameServer leader = listen(
                "c1",
                (peer, frame) -> peer.send(Frame.newBuilder()
                        .setConfigUpdate(ConfigUpdate.getDefaultInstance())
                        .build()));
        ControlClient client = client(leader.port());
        callUntilSent(client);
        assertThat(client.leader(0)).hasValue("c1");
    }

    /** Guards against calls that stay with a leader that neither answers nor sends changes. */
    @Test
    void forgetsSilentLeader() throws Exception {
        FrameServer leader = listen("c1", (peer, frame) -> {});
        ControlClient client = client(leader.port());
        callUntilSent(client);
        assertThat(client.leader(0)).isEmpty();
    }

    /** Calls until a request was sent, so that the call ended without an answer and not without a connection. */
    private static void callUntilSent(ControlClient client) {
        Optional<TransportException.Kind> failure = Optional.of(TransportException.Kind.NOT_SENT);
        for (int i = 0; i < POLLS && failure.equals(Optional.of(TransportException.Kind.NOT_SENT)); i++) {
            failure = client.call(0, Frame.newBuilder().setHeartbeat(Heartbeat.getDefaultInstance()), SHORT_TIMEOUT)
                    .handle((reply, e) -> Optional.ofNullable(e)
                            .map(Causes::of)
                            .map(TransportException.class::cast)
                            .map(TransportException::kind))
                    .join();
        }
    }

    private static FrameHandler heartbeats(long term) {
        return (peer, frame) ->
                peer.send(heartbeat(term).setCall(frame.getCall()).build());
    }

    private static Frame.Builder heartbeat(long term) {
        return Frame.newBuilder().setHeartbeat(Heartbeat.newBuilder().setTerm(term));
    }

    /** Sends a heartbeat to each process that connects. */
    private record AnnouncingLeader(long term) implements FrameHandler {
        @Override
        public void onConnected(Peer peer) {
            peer.send(heartbeat(term).build());
        }

        @Override
        public void onFrame(Peer peer, Frame frame) {
            heartbeats(term).onFrame(peer, frame);
        }
    }

    /** Guards against a client that loses contact after all configured members are gone. */
    @Test
    void findsLeaderAfterAllConfiguredMembersAreGone() throws Exception {
        FrameHandler[] handlers = new FrameHandler[1];
        FrameServer other = listen("c9", (peer, frame) -> handlers[0].onFrame(peer, frame));
        handlers[0] = (peer, frame) -> peer.send(Frame.newBuilder()
                .setCall(frame.getCall())
                .setHeartbeat(Heartbeat.newBuilder()
                        .addMembers(Member.newBuilder().setName("c9").setAddress("127.0.0.1:" + other.port())))
                .build());
        FrameServer configured = listen("c1", (peer, frame) -> handlers[0].onFrame(peer, frame));
        ControlClient client = client(configured.port());
        Frame.Builder request = Frame.newBuilder().setHeartbeat(Heartbeat.getDefaultInstance());
        client.call(0, request, TIMEOUT).get(TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
        configured.close();
        for (int i = 0; i < POLLS && !client.leader(0).equals(Optional.of("c9")); i++) {
            // A call in progress fails when the connection ends, since its effect is unknown.
            client.call(0, request, TIMEOUT).handle((reply, failure) -> reply).join();
            Thread.sleep(POLL_MS);
        }
        assertThat(client.leader(0)).hasValue("c9");
    }

    /** Guards against a host that mistakes a relay, which cannot serve, for a reachable member. */
    @Test
    void doesNotCountRelayAsMember() throws Exception {
        Transport transport = closer.register(new Transport(
                Hello.newBuilder().setName("c1").setRole(Role.RELAY).build(), 1));
        FrameServer relay = closer.register(transport.listen(new Address("127.0.0.1", 0), (peer, frame) -> {}));
        ControlClient client = client(relay.port());
        for (int i = 0; i < POLLS && client.relays().isEmpty(); i++) {
            Thread.sleep(POLL_MS);
        }
        assertThat(client.relays()).containsExactly("c1");
        assertThat(client.isPartitioned()).isTrue();
    }

    /** Guards against callers that wait at a host without a connection to any member. */
    @Test
    void reportsPartitionWhenNoMemberIsReachable() throws Exception {
        FrameServer member = listen("c1", (peer, frame) -> {});
        ControlClient client = client(member.port());
        for (int i = 0; i < POLLS && client.isPartitioned(); i++) {
            Thread.sleep(POLL_MS);
        }
        assertThat(client.isPartitioned()).isFalse();
        member.close();
        for (int i = 0; i < POLLS && !client.isPartitioned(); i++) {
            Thread.sleep(POLL_MS);
        }
        assertThat(client.isPartitioned()).isTrue();
    }

    private ControlClient client(int port) {
        return closer.register(
                new ControlClient(transport("r1"), Map.of("c1", new Address("127.0.0.1", port)), (peer, frame) -> {}));
    }

    private FrameServer listen(String name, FrameHandler handler) throws Exception {
        return closer.register(transport(name).listen(new Address("127.0.0.1", 0), handler));
    }

    private Transport transport(String name) {
        return closer.register(new Transport(Hello.newBuilder().setName(name).build(), 1));
    }
}
