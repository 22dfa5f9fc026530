package org.ragwortrun.net.control;

import static com.google.common.truth.Truth.assertThat;
import static org.ragwortrun.net.control.LoopbackMembers.address;
import static org.ragwortrun.net.control.LoopbackMembers.await;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.ragwortrun.core.concurrent.Causes;
import org.ragwortrun.net.FrameHandler;
import org.ragwortrun.net.FrameServer;
import org.ragwortrun.net.Peer;
import org.ragwortrun.net.TransportException;
import org.ragwortrun.proto.ConfigQuery;
import org.ragwortrun.proto.ConfigReply;
import org.ragwortrun.proto.ConfigUpdate;
import org.ragwortrun.proto.Frame;
import org.ragwortrun.proto.Heartbeat;
import org.ragwortrun.proto.Member;
import org.ragwortrun.proto.NotLeader;
import org.ragwortrun.proto.Role;

final class ControlClientTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(10);
    private static final Duration SHORT_TIMEOUT = Duration.ofMillis(200);
    private static final int POLLS = 400;

    private final LoopbackMembers members = new LoopbackMembers();

    @AfterEach
    void stop() {
        members.close();
    }

    /** Guards against a client that finds no leader after all configured members have been replaced. */
    @Test
    void connectsToLeaderNamedInReply() throws Exception {
        FrameServer leader = members.listen(
                "c9",
                (peer, frame) -> peer.send(Frame.newBuilder()
                        .setCall(frame.getCall())
                        .setConfigReply(ConfigReply.getDefaultInstance())
                        .build()));
        FrameServer member = members.listen(
                "c1",
                (peer, frame) -> peer.send(Frame.newBuilder()
                        .setCall(frame.getCall())
                        .setNotLeader(NotLeader.newBuilder()
                                .setLeaderName("c9")
                                .setLeaderAddress("127.0.0.1:" + leader.port()))
                        .build()));
        ControlClient client = members.client(member.port());
        Frame reply = client.call(0, Frame.newBuilder().setConfigQuery(ConfigQuery.getDefaultInstance()), TIMEOUT)
                .get(TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
        assertThat(reply.hasConfigReply()).isTrue();
        assertThat(client.leader(0)).hasValue("c9");
    }

    /** Guards against calls that go to the earlier leader although another one has announced itself. */
    @Test
    void callsLeaderThatAnnouncedItself() throws Exception {
        FrameServer first = members.listen("c1", heartbeats(1));
        FrameServer second = members.listen("c2", new AnnouncingLeader(2));
        ControlClient client = members.client(Map.of("c1", address(first), "c2", address(second)));
        await(() -> client.leader(0).equals(Optional.of("c2")));
        assertThat(client.leader(0)).hasValue("c2");
        Frame reply = client.call(0, Frame.newBuilder().setHeartbeat(Heartbeat.getDefaultInstance()), TIMEOUT)
                .get(TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
        assertThat(reply.getHeartbeat().getTerm()).isEqualTo(2);
    }

    /** Guards against calls that wander among the members while the leader sends changes on an open connection. */
    @Test
    void keepsSilentLeaderThatSendsChanges() throws Exception {
        FrameServer leader = members.listen(
                "c1",
                (peer, frame) -> peer.send(Frame.newBuilder()
                        .setConfigUpdate(ConfigUpdate.getDefaultInstance())
                        .build()));
        ControlClient client = members.client(leader.port());
        callUntilSent(client);
        assertThat(client.leader(0)).hasValue("c1");
    }

    /** Guards against calls that stay with a leader that neither answers nor sends changes. */
    @Test
    void forgetsSilentLeader() throws Exception {
        FrameServer leader = members.listen("c1", LoopbackMembers.SILENT);
        ControlClient client = members.client(leader.port());
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
        FrameServer other = members.listen("c9", (peer, frame) -> handlers[0].onFrame(peer, frame));
        handlers[0] = (peer, frame) -> peer.send(Frame.newBuilder()
                .setCall(frame.getCall())
                .setHeartbeat(Heartbeat.newBuilder()
                        .addMembers(Member.newBuilder().setName("c9").setAddress("127.0.0.1:" + other.port())))
                .build());
        FrameServer configured = members.listen("c1", (peer, frame) -> handlers[0].onFrame(peer, frame));
        ControlClient client = members.client(configured.port());
        Frame.Builder request = Frame.newBuilder().setHeartbeat(Heartbeat.getDefaultInstance());
        client.call(0, request, TIMEOUT).get(TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
        configured.close();
        await(() -> {
            // A call in progress fails when the connection ends, since its effect is unknown.
            client.call(0, request, TIMEOUT).handle((reply, failure) -> reply).join();
            return client.leader(0).equals(Optional.of("c9"));
        });
    }

    /** Guards against a host that mistakes a relay, which cannot serve, for a reachable member. */
    @Test
    void doesNotCountRelayAsMember() throws Exception {
        FrameServer relay = members.listen("c1", Role.RELAY, LoopbackMembers.SILENT);
        ControlClient client = members.client(relay.port());
        await(() -> !client.relays().isEmpty());
        assertThat(client.relays()).containsExactly("c1");
        assertThat(client.isPartitioned()).isTrue();
    }

    /** Guards against callers that wait at a host without a connection to any member. */
    @Test
    void reportsPartitionWhenNoMemberIsReachable() throws Exception {
        FrameServer member = members.listen("c1", LoopbackMembers.SILENT);
        ControlClient client = members.client(member.port());
        await(() -> !client.isPartitioned());
        assertThat(client.isPartitioned()).isFalse();
        member.close();
        await(client::isPartitioned);
        assertThat(client.isPartitioned()).isTrue();
    }
}
