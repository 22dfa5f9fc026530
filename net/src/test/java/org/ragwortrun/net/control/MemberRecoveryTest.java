package org.ragwortrun.net.control;

import static com.google.common.truth.Truth.assertThat;
import static org.ragwortrun.net.control.LoopbackMembers.address;
import static org.ragwortrun.net.control.LoopbackMembers.await;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.ragwortrun.core.metrics.Metrics;
import org.ragwortrun.core.time.Time;
import org.ragwortrun.net.FrameServer;
import org.ragwortrun.proto.Frame;
import org.ragwortrun.proto.Heartbeat;
import org.ragwortrun.proto.Member;

final class MemberRecoveryTest {
    private final LoopbackMembers members = new LoopbackMembers();

    @AfterEach
    void stop() {
        members.close();
    }

    /** Guards against a process that knows only members that are gone and never reaches control again. */
    @Test
    void findsMembersAfterAllKnownOnesAreGone() throws Exception {
        FrameServer gone = listen("c1");
        ControlClient client = members.client(gone.port());
        gone.close();
        FrameServer successor = listen("c9");
        MemberRecovery recovery = recovery(client, source(member("c9", successor.port())));
        await(() -> {
            recovery.run();
            return !client.isPartitioned();
        });
        assertThat(client.knownMembers()).containsExactly("c1", "c9");
    }

    /** Guards against a process that stays with a member that runs and no longer belongs to the group. */
    @Test
    void findsMembersWhileOnlyFormerOneIsReached() throws Exception {
        ControlClient client = members.client(listen("c1").port());
        await(() -> !client.isPartitioned());
        MemberRecovery recovery = recovery(client, source(member("c9", 1)));
        await(() -> {
            recovery.run();
            return client.knownMembers().contains("c9");
        });
    }

    /** Guards against former members that run, and take the places of the current ones. */
    @Test
    void connectsToCurrentMemberBesideThreeFormerOnes() throws Exception {
        ControlClient client = members.client(
                Map.of("c1", address(listen("c1")), "c2", address(listen("c2")), "c3", address(listen("c3"))));
        await(() -> Stream.of("c1", "c2", "c3").allMatch(client::isConnected));
        client.learn(List.of(member("c9", listen("c9").port())));
        await(() -> client.isConnected("c9"));
    }

    /** Guards against lists of other processes that replace what the leader has told. */
    @Test
    void asksNoOtherSourceWhileLeaderAnswers() throws Exception {
        FrameServer leader = members.listen(
                "c1",
                (peer, frame) -> peer.send(Frame.newBuilder()
                        .setCall(frame.getCall())
                        .setHeartbeat(Heartbeat.newBuilder().addMembers(member("c1", 1)))
                        .build()));
        ControlClient client = members.client(leader.port());
        await(() -> {
            client.call(0, Frame.newBuilder().setHeartbeat(Heartbeat.getDefaultInstance()), Duration.ofSeconds(1))
                    .handle((reply, failure) -> reply)
                    .join();
            return !client.members().isEmpty();
        });
        recovery(client, source(member("c9", 1))).run();
        assertThat(client.knownMembers()).containsExactly("c1");
    }

    /** Guards against connections to ever more members that are gone, at a process that stays cut off. */
    @Test
    void forgetsFoundMembersThatAreNoLongerNamed() throws Exception {
        ControlClient client = members.client(1);
        client.learn(List.of(member("c8", 1)));
        client.learn(List.of(member("c9", 1)));
        assertThat(client.knownMembers()).containsExactly("c1", "c9");
    }

    /** Guards against a member that is not found again because it came back at another address under its name. */
    @Test
    void followsLearnedMemberToAnotherAddress() throws Exception {
        FrameServer moved = listen("c9");
        ControlClient client = members.client(1);
        client.learn(List.of(member("c9", 1)));
        client.learn(List.of(member("c9", moved.port())));
        await(() -> !client.isPartitioned());
    }

    private static MemberRecovery recovery(ControlClient client, MemberSource source) {
        return new MemberRecovery(client, List.of(source), Metrics.local(), Time.system());
    }

    private static MemberSource source(Member member) {
        return new MemberSource() {
            @Override
            public String name() {
                return "test";
            }

            @Override
            public void find(Consumer<List<Member>> receiver) {
                receiver.accept(List.of(member));
            }
        };
    }

    private static Member member(String name, int port) {
        return Member.newBuilder().setName(name).setAddress("127.0.0.1:" + port).build();
    }

    private FrameServer listen(String name) throws Exception {
        return members.listen(name, LoopbackMembers.SILENT);
    }
}
