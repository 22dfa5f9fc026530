package org.ragwortrun.control.internal;

import static com.google.common.truth.Truth.assertThat;

import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.ragwortrun.control.TimedMoveDriver;
import org.ragwortrun.net.Address;
import org.ragwortrun.proto.ApplyTopUps;
import org.ragwortrun.proto.BudgetRef;
import org.ragwortrun.proto.Confirm;
import org.ragwortrun.proto.EvacuationOrder;
import org.ragwortrun.proto.EvacuationReply;
import org.ragwortrun.proto.FenceConfirmed;
import org.ragwortrun.proto.Frame;
import org.ragwortrun.proto.Heartbeat;
import org.ragwortrun.proto.OpenSession;
import org.ragwortrun.proto.Publish;
import org.ragwortrun.proto.PublishReply;
import org.ragwortrun.proto.RequestGrant;
import org.ragwortrun.proto.Role;
import org.ragwortrun.proto.Section;
import org.ragwortrun.proto.ShardCommand;
import org.ragwortrun.proto.ShardRequest;
import org.ragwortrun.proto.Statement;
import org.ragwortrun.proto.StatementQuery;
import org.ragwortrun.proto.StatusQuery;
import org.ragwortrun.proto.StatusReply;
import org.ragwortrun.proto.Watch;

final class ControlNodeTest {
    private static final Duration LEASE = Duration.ofSeconds(3);
    // At the leader a lease lasts a tenth longer than at the daemon.
    private static final Duration LEADER_SIDE_LEASE = Duration.ofMillis(3_300);
    private static final Duration FENCE_AFTER = Duration.ofSeconds(600);
    private static final BudgetRef BUDGET =
            BudgetRef.newBuilder().setAccount("a").setService("s").build();

    private final FakeTime time = new FakeTime();
    private final FakeMetaGroup meta = new FakeMetaGroup(time);
    private final FakeShardGroup shard = new FakeShardGroup(time);
    private final FakePeer operator = peer("op", Role.OPERATOR);
    private final FakePeer router = peer("r1", Role.ROUTER);
    private final FakeShardGroup secondShard = new FakeShardGroup(time, 2);
    private ControlNode node;
    private long call;

    @BeforeEach
    void start() throws Exception {
        ControlSettings settings = new ControlSettings(
                "c1",
                "a",
                0,
                Map.of("c1", new Address("127.0.0.1", 1)),
                new Address("127.0.0.1", 1),
                Path.of("unused"),
                1,
                List.of("c1"),
                LEASE,
                FENCE_AFTER,
                Duration.ofHours(24),
                1_024,
                Duration.ofSeconds(1),
                50_000,
                8 << 20);
        node = new ControlNode(settings, time, meta, List.of(shard, secondShard), this::status, new TimedMoveDriver());
        node.onConnected(router);
        // The leadership term starts before tests advance the clock.
        status().get();
    }

    @AfterEach
    void stop() {
        node.close();
    }

    /** Guards against accepting the files of two operators under the same number. */
    @Test
    void rejectsSecondPublishBasedOnSameNumber() throws Exception {
        assertThat(publish("p1", 0, 0, files(5)).getOutcome()).isEqualTo(PublishReply.Outcome.ACCEPTED);
        PublishReply second = publish("p2", 0, 0, files(7));
        assertThat(second.getOutcome()).isEqualTo(PublishReply.Outcome.CONFLICT);
        assertThat(second.getNumber()).isEqualTo(1);
    }

    /** Guards against a publish that is applied twice because its reply was lost. */
    @Test
    void resentPublishGetsOriginalReply() throws Exception {
        publish("p1", 0, 0, files(5));
        PublishReply again = publish("p1", 0, 0, files(5));
        assertThat(again.getOutcome()).isEqualTo(PublishReply.Outcome.ACCEPTED);
        assertThat(again.getNumber()).isEqualTo(1);
        assertThat(again.getResent()).isTrue();
        assertThat(meta.number()).isEqualTo(1);
    }

    /** Guards against invalid files that change the configuration. */
    @Test
    void rejectsInvalidFiles() throws Exception {
        PublishReply reply = publish("p1", 0, 0, files(-5));
        assertThat(reply.getOutcome()).isEqualTo(PublishReply.Outcome.INVALID);
        assertThat(reply.getErrors(0).getRule()).isEqualTo("whole-number");
        assertThat(meta.number()).isEqualTo(0);
    }

    /** Guards against reporting "in force" while a disconnected daemon may still use the old configuration. */
    @Test
    void disconnectedDaemonDelaysInForceUntilLeaseExpires() throws Exception {
        time.advance(LEADER_SIDE_LEASE);
        assertThat(confirm(router, 0).getLeaseMs()).isEqualTo(3_000);
        node.onFrame(operator, publishFrame("p1", 0, 60_000, files(5)));
        assertThat(operator.receivesNone(Frame::hasPublishReply)).isTrue();
        time.advance(LEADER_SIDE_LEASE.minusMillis(1));
        assertThat(operator.receivesNone(Frame::hasPublishReply)).isTrue();
        assertThat(status().get().getConfigInForce()).isFalse();
        time.advance(Duration.ofMillis(1));
        assertThat(operator.await(Frame::hasPublishReply).getPublishReply().getInForce())
                .isTrue();
    }

    /** Guards against an operator who keeps waiting after all daemons have confirmed. */
    @Test
    void inForceOnceAllDaemonsConfirmed() throws Exception {
        time.advance(LEADER_SIDE_LEASE);
        confirm(router, 0);
        node.onFrame(operator, publishFrame("p1", 0, 60_000, files(5)));
        router.await(f -> f.hasConfigUpdate() && f.getConfigUpdate().getNumber() == 1);
        assertThat(confirm(router, 0).getLeaseMs()).isEqualTo(0);
        assertThat(confirm(router, 1).getLeaseMs()).isEqualTo(3_000);
        assertThat(operator.await(Frame::hasPublishReply).getPublishReply().getInForce())
                .isTrue();
    }

    /** Guards against a publish that never gets a reply, or one that does not name the awaited daemons. */
    @Test
    void publishTimeoutReportsAwaitedDaemons() throws Exception {
        time.advance(LEADER_SIDE_LEASE);
        confirm(router, 0);
        node.onFrame(operator, publishFrame("p1", 0, 1_000, files(5)));
        // The result of the publish is queued behind the first query, so the second query is handled after it.
        status().get();
        status().get();
        time.advance(Duration.ofSeconds(1));
        PublishReply reply = operator.await(Frame::hasPublishReply).getPublishReply();
        assertThat(reply.getInForce()).isFalse();
        assertThat(reply.getAwaitedDaemonsList()).containsExactly("r1");
    }

    /** Guards against an order that is acknowledged and not pushed to routers, or not known to be in force. */
    @Test
    void pushesEvacuationAndAwaitsConfirmation() throws Exception {
        time.advance(LEADER_SIDE_LEASE);
        confirm(router, 0);
        assertThat(evacuate("n1", true).getNumber()).isEqualTo(1);
        Frame update =
                router.await(f -> f.hasConfigUpdate() && f.getConfigUpdate().getNumber() == 1);
        assertThat(update.getConfigUpdate().getEvacuations(0).getDataCenter()).isEqualTo("n1");
        StatusReply status = status().get();
        assertThat(status.getConfigInForce()).isFalse();
        assertThat(status.getEvacuations(0).getActive()).isTrue();
        confirm(router, 1);
        assertThat(status().get().getConfigInForce()).isTrue();
        assertThat(evacuate("n1", true).getNumber()).isEqualTo(1);
        assertThat(evacuate("n1", false).getNumber()).isEqualTo(2);
        assertThat(status().get().getEvacuations(0).getActive()).isFalse();
    }

    /** Guards against an order that a member without a lease acknowledges. */
    @Test
    void redirectsEvacuationToLeader() throws Exception {
        meta.term = OptionalLong.empty();
        node.onFrame(operator, evacuationFrame("n1", true));
        assertThat(operator.await(f -> true).getNotLeader().getLeaderName()).isEqualTo("c2");
        assertThat(meta.number()).isEqualTo(0);
    }

    /** Guards against a new leader that ignores the leases granted by its predecessor. */
    @Test
    void newLeaderWaitsForLeasesOfPredecessor() throws Exception {
        time.advance(LEADER_SIDE_LEASE);
        publish("p1", 0, 0, files(5));
        assertThat(status().get().getConfigInForce()).isTrue();
        meta.term = OptionalLong.of(2);
        assertThat(status().get().getConfigInForce()).isFalse();
        time.advance(LEADER_SIDE_LEASE);
        assertThat(status().get().getConfigInForce()).isTrue();
    }

    /** Guards against daemons that learn of a change of leader, and of what it acknowledges, only by their own timer. */
    @Test
    void newLeaderAnnouncesItselfToConnectedDaemons() throws Exception {
        publish("p1", 0, 0, files(5));
        FakePeer agent = peer("e1", Role.AGENT);
        node.onConnected(agent);
        assertThat(agent.await(Frame::hasHeartbeat).getHeartbeat().getNumber()).isEqualTo(1);
        assertThat(agent.receivesNone(Frame::hasHeartbeat)).isTrue();
        meta.term = OptionalLong.of(2);
        Frame toAgent = agent.await(Frame::hasHeartbeat);
        assertThat(toAgent.getCall()).isEqualTo(0);
        assertThat(toAgent.getHeartbeat().getNumber()).isEqualTo(1);
        router.await(f -> f.getCall() == 0 && f.getHeartbeat().getNumber() == 1);
    }

    /** Guards against an isolated member that replies from stale state. */
    @Test
    void memberWithoutLeaseRedirectsToLeader() throws Exception {
        meta.term = OptionalLong.empty();
        shard.term = OptionalLong.empty();
        node.onFrame(operator, publishFrame("p1", 0, 0, files(5)));
        assertThat(operator.await(f -> true).getNotLeader().getLeaderName()).isEqualTo("c2");
        node.onFrame(operator, statementFrame());
        assertThat(operator.await(f -> true).getNotLeader().getGroup()).isEqualTo(1);
    }

    /** Guards against sending the whole configuration after each change. */
    @Test
    void watchReturnsOnlyChangedSections() throws Exception {
        publish("p1", 0, 0, files(5));
        publish("p2", 1, 0, files(5, section("account", "b", Map.of())));
        node.onFrame(
                router, frame().setWatch(Watch.newBuilder().setHaveNumber(1)).build());
        var update = router.await(f -> f.hasConfigUpdate() && f.getCall() != 0).getConfigUpdate();
        assertThat(update.getBase()).isEqualTo(1);
        assertThat(update.getChangedList().stream().map(Section::getName).toList())
                .containsExactly("b");
    }

    /** Guards against copies of a large update that queue behind it on a slow connection. */
    @Test
    void doesNotRepeatUpdateThatIsStillBeingSent() throws Exception {
        publish("p1", 0, 0, files(5));
        Frame watch = frame().setWatch(Watch.getDefaultInstance()).build();
        node.onFrame(router, watch);
        router.await(f -> f.hasConfigUpdate() && f.getCall() == watch.getCall());
        router.writable = false;
        node.onFrame(router, frame().setWatch(Watch.getDefaultInstance()).build());
        assertThat(router.receivesNone(Frame::hasConfigUpdate)).isTrue();
        router.writable = true;
        Frame again = frame().setWatch(Watch.getDefaultInstance()).build();
        node.onFrame(router, again);
        router.await(f -> f.hasConfigUpdate() && f.getCall() == again.getCall());
    }

    /** Guards against top-ups that are lost or applied twice, also after a change of the shard's leader. */
    @Test
    void appliesTopUpsOnce() throws Exception {
        publish("p1", 0, 0, files(5));
        awaitPrepaid(5);
        shard.term = OptionalLong.of(2);
        publish("p2", 1, 0, files(5, section("account", "b", Map.of())));
        TimeUnit.MILLISECONDS.sleep(300);
        awaitPrepaid(5);
    }

    /** Guards against tokens that stay held by a replaced router, and against returning them too early. */
    @Test
    void returnsGrantsOfReplacedRouterAfterAllAgentsFencedIt() throws Exception {
        publish("p1", 0, 0, files(100));
        awaitPrepaid(100);
        openSession(router, "r1@1");
        grant("r1@1-1", 60);
        FakePeer agent = peer("e1", Role.AGENT);
        node.onConnected(agent);
        openSession(router, "r1@2");
        Frame fence = agent.await(Frame::hasFenceRouter);
        assertThat(fence.getFenceRouter().getIncarnation()).isEqualTo("r1@1");
        assertThat(statement().getBudgets(0).getHeld()).isEqualTo(60);
        node.onFrame(
                agent,
                Frame.newBuilder()
                        .setFenceConfirmed(FenceConfirmed.newBuilder()
                                .setIncarnation("r1@1")
                                .setAgent("e1"))
                        .build());
        assertThat(statement().getBudgets(0).getHeld()).isEqualTo(0);
    }

    /** Guards against a silent router whose tokens are never returned, and against fencing one that holds a lease. */
    @Test
    void fencesSilentRouterAfterLeaseExpires() throws Exception {
        publish("p1", 0, 0, files(100));
        awaitPrepaid(100);
        openSession(router, "r1@1");
        FakePeer agent = peer("e1", Role.AGENT);
        node.onConnected(agent);
        // A connected router is not silent even if it is idle; the fencing time starts when the connection closes.
        time.advance(FENCE_AFTER);
        router.open = false;
        node.onClosed(router);
        time.advance(FENCE_AFTER.minusSeconds(1));
        assertThat(agent.receivesNone(Frame::hasFenceRouter)).isTrue();
        node.onFrame(
                router, frame().setConfirm(Confirm.newBuilder().setNumber(1)).build());
        time.advance(Duration.ofSeconds(1));
        assertThat(agent.receivesNone(Frame::hasFenceRouter)).isTrue();
        time.advance(Duration.ofSeconds(6));
        assertThat(agent.await(Frame::hasFenceRouter).getFenceRouter().getIncarnation())
                .isEqualTo("r1@1");
    }

    /** Guards against a request that is rejected although another router holds unused tokens. */
    @Test
    void recallsHeldTokens() throws Exception {
        publish("p1", 0, 0, files(100));
        awaitPrepaid(100);
        openSession(router, "r1@1");
        grant("r1@1-1", 100);
        FakePeer other = peer("r2", Role.ROUTER);
        openSession(other, "r2@1");
        node.onFrame(other, grantFrame("r2@1-1", 50));
        assertThat(router.await(Frame::hasRecall).getRecall().getBudget()).isEqualTo(BUDGET);
    }

    /** Guards against daemons that apply top-ups themselves. */
    @Test
    void rejectsTopUpsFromCallers() throws Exception {
        ShardCommand.Builder topUp = ShardCommand.newBuilder().setApplyTopUps(ApplyTopUps.getDefaultInstance());
        node.onFrame(router, shardFrame(topUp));
        assertThat(router.await(Frame::hasError).getError().getType()).isEqualTo("not-allowed");
    }

    /** Guards against a shard without fencing and top-ups because the work for another one fails. */
    @Test
    void failureInOneShardDoesNotStopAnother() throws Exception {
        shard.failing = true;
        int before = shard.termReads.get() + 2;
        while (shard.termReads.get() < before) {
            TimeUnit.MILLISECONDS.sleep(10);
        }
        int reads = secondShard.termReads.get();
        TimeUnit.MILLISECONDS.sleep(500);
        assertThat(secondShard.termReads.get()).isGreaterThan(reads);
    }

    private CompletableFuture<StatusReply> status() {
        FakePeer peer = peer("status", Role.CONTROL);
        node.onFrame(
                peer, frame().setStatusQuery(StatusQuery.getDefaultInstance()).build());
        return CompletableFuture.supplyAsync(() -> {
            try {
                return peer.await(Frame::hasStatusReply).getStatusReply();
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        });
    }

    private PublishReply publish(String id, long basedOn, int waitMs, List<Section> files) throws Exception {
        node.onFrame(operator, publishFrame(id, basedOn, waitMs, files));
        return operator.await(Frame::hasPublishReply).getPublishReply();
    }

    private EvacuationReply evacuate(String dataCenter, boolean begin) throws Exception {
        Frame order = evacuationFrame(dataCenter, begin);
        node.onFrame(operator, order);
        return operator.await(f -> f.getCall() == order.getCall()).getEvacuationReply();
    }

    private Frame evacuationFrame(String dataCenter, boolean begin) {
        return frame().setEvacuationOrder(EvacuationOrder.newBuilder()
                        .setDataCenter(dataCenter)
                        .setBegin(begin)
                        .setValidMs(900))
                .build();
    }

    private Frame publishFrame(String id, long basedOn, int waitMs, List<Section> files) {
        return frame().setPublish(Publish.newBuilder()
                        .setPublishId(id)
                        .setBasedOn(basedOn)
                        .setWaitMs(waitMs)
                        .addAllSections(files))
                .build();
    }

    private Heartbeat confirm(FakePeer peer, long number) throws Exception {
        Frame confirm =
                frame().setConfirm(Confirm.newBuilder().setNumber(number)).build();
        node.onFrame(peer, confirm);
        return peer.await(f -> f.getCall() == confirm.getCall()).getHeartbeat();
    }

    private void openSession(FakePeer peer, String incarnation) throws Exception {
        Frame open = shardFrame(ShardCommand.newBuilder()
                .setOpenSession(OpenSession.newBuilder()
                        .setRouter(peer.hello().getName())
                        .setIncarnation(incarnation)));
        node.onFrame(peer, open);
        assertThat(peer.await(f -> f.getCall() == open.getCall())
                        .getShardReply()
                        .getCommand()
                        .hasSessionOpened())
                .isTrue();
    }

    private void grant(String id, long amount) throws Exception {
        Frame request = grantFrame(id, amount);
        node.onFrame(router, request);
        var result = router.await(f -> f.getCall() == request.getCall())
                .getShardReply()
                .getCommand()
                .getGrant();
        assertThat(result.getAmount()).isEqualTo(amount);
    }

    private Frame grantFrame(String id, long amount) {
        return shardFrame(ShardCommand.newBuilder()
                .setRequestGrant(RequestGrant.newBuilder()
                        .setBudget(BUDGET)
                        .setIncarnation(id.substring(0, id.lastIndexOf('-')))
                        .setGrantId(id)
                        .setMinimum(amount)
                        .setWanted(amount)));
    }

    private Frame statementFrame() {
        return frame().setShardRequest(ShardRequest.newBuilder()
                        .setGroup(1)
                        .setStatement(StatementQuery.newBuilder().setAccount("a")))
                .build();
    }

    private Statement statement() throws Exception {
        Frame query = statementFrame();
        node.onFrame(operator, query);
        return operator.await(f -> f.getCall() == query.getCall())
                .getShardReply()
                .getStatement();
    }

    private void awaitPrepaid(long tokens) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
        long seen = -1;
        while (seen != tokens && System.nanoTime() < end) {
            Statement s = statement();
            seen = s.getBudgetsCount() == 0 ? -1 : s.getBudgets(0).getPrepaid();
        }
        assertThat(seen).isEqualTo(tokens);
    }

    private Frame shardFrame(ShardCommand.Builder command) {
        return frame().setShardRequest(ShardRequest.newBuilder().setGroup(1).setCommand(command))
                .build();
    }

    private Frame.Builder frame() {
        return Frame.newBuilder().setCall(++call);
    }

    private static FakePeer peer(String name, Role role) {
        return new FakePeer(name, role);
    }

    static List<Section> files(long topUp, Section... more) {
        List<Section> files = new ArrayList<>(List.of(
                section("account", "a", Map.of()),
                section("service", "s", Map.of("kind", "plain", "version", "v1")),
                section(
                        "endpoint",
                        "e1",
                        Map.of(
                                "service", "s",
                                "version", "v1",
                                "agent", "10.0.0.1:7100",
                                "url", "http://10.0.0.1:8000",
                                "data-center", "a")),
                section("budget", "a/s", Map.of("topup.1", Long.toString(topUp)))));
        files.addAll(List.of(more));
        return files;
    }

    private static Section section(String kind, String name, Map<String, String> properties) {
        return Section.newBuilder()
                .setKind(kind)
                .setName(name)
                .setFile("f.ini")
                .setLine(1)
                .putAllProperties(properties)
                .build();
    }
}
