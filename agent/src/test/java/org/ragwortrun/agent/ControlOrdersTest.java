package org.ragwortrun.agent;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.ragwortrun.core.concurrent.Closer;
import org.ragwortrun.net.FrameClient;
import org.ragwortrun.proto.FenceConfirmed;
import org.ragwortrun.proto.FenceRouter;
import org.ragwortrun.proto.Frame;
import org.ragwortrun.proto.LoadOrder;
import org.ragwortrun.proto.LoadOrderResult;
import org.ragwortrun.proto.Refused;
import org.ragwortrun.proto.RequestState;
import org.ragwortrun.proto.RunState;
import org.ragwortrun.standins.EngineOptions;
import org.ragwortrun.standins.ExpectedAnswer;
import org.ragwortrun.standins.StandinEngine;

final class ControlOrdersTest {
    private final Closer closer = new Closer();
    private StandinEngine engine;
    private AgentFixture fixture;
    private FrameClient router;

    private void start(Map<String, String> settings) throws Exception {
        engine = closer.register(StandinEngine.start(EngineOptions.defaults().withTokenMs(1)));
        fixture = closer.register(new AgentFixture("model", engine.url(), Map.of("slots", "1"), settings));
        router = fixture.connect();
    }

    @AfterEach
    void stop() {
        closer.close();
    }

    /** Guards against a fence that is confirmed while a running request or unacknowledged usage remains. */
    @Test
    void confirmsFenceAfterAllUsageIsAcknowledged() throws Exception {
        start(Map.of());
        fixture.control().setSettles(false);
        AnswerReader running = fixture.send(router, fixture.chat("r1", "run [len=300]"));
        running.accepted();
        AnswerReader queued = fixture.send(router, fixture.chat("r2", "wait [len=5]"));
        queued.accepted();
        fence();
        assertThat(queued.refused().getReason()).isEqualTo("router-fenced");
        Refused late = fixture.send(router, fixture.chat("r3", "late")).refused();
        assertThat(late.getReason()).isEqualTo("router-fenced");
        assertThat(late.getRun()).isEqualTo(RunState.RUN_NOT_RUN);
        assertThat(running.finished().getFailure()).isEmpty();
        AgentFixture.await(() -> !fixture.control().reports().isEmpty());
        assertThat(fixture.control().otherFrames()).isEmpty();
        fixture.control().setSettles(true);
        FenceConfirmed confirmed =
                fixture.control().otherFrames().poll(10, TimeUnit.SECONDS).getFenceConfirmed();
        assertThat(confirmed.getIncarnation()).isEqualTo(AgentFixture.ROUTER);
        assertThat(confirmed.getAgent()).isEqualTo("assay-1");
        assertThat(fixture.control().bills().keySet()).containsExactly("r1");
        fence();
        assertThat(fixture.control().otherFrames().poll(10, TimeUnit.SECONDS).hasFenceConfirmed())
                .isTrue();
    }

    /** Guards against a request that waits at the agent and starts after the evacuation of its data center began. */
    @Test
    void refusesQueuedAndNewRequestsWhileDataCenterIsEvacuated() throws Exception {
        start(Map.of("agent.queue-wait", "10s"));
        AnswerReader running = fixture.send(router, fixture.chat("r1", "run [len=300]"));
        running.accepted();
        AnswerReader queued = fixture.send(router, fixture.chat("r2", "wait [len=5]"));
        queued.accepted();
        fixture.control().evacuate("coast-a", true);
        Refused refused = queued.refused();
        assertThat(refused.getReason()).isEqualTo("no-endpoint");
        assertThat(refused.getRun()).isEqualTo(RunState.RUN_NOT_RUN);
        assertThat(fixture.send(router, fixture.chat("r3", "late")).refused().getReason())
                .isEqualTo("no-endpoint");
        assertThat(running.finished().getFailure()).isEmpty();
        fixture.control().evacuate("coast-a", false);
        AgentFixture.await(() -> fixture.control().confirmed() == 3);
        assertThat(fixture.send(router, fixture.chat("r4", "next [len=5]"))
                        .finished()
                        .getFailure())
                .isEmpty();
    }

    /** Guards against usage that is lost or dropped while no shard acknowledges it. */
    @Test
    void resendsUsageUntilAcknowledged() throws Exception {
        start(Map.of("agent.outbox", "1"));
        fixture.control().setSettles(false);
        fixture.send(router, fixture.chat("r1", "bill [len=5]")).finished();
        AgentFixture.await(() -> fixture.control().reports().size() >= 2);
        assertThat(fixture.send(router, fixture.chat("r2", "more")).refused().getReason())
                .isEqualTo("overloaded");
        fixture.control().setSettles(true);
        AgentFixture.await(() -> fixture.control().bills().containsKey("r1"));
        assertThat(Map.copyOf(fixture.control().bills())).hasSize(1);
    }

    /** Guards against an outdated load order on an endpoint that does not check the fencing number itself. */
    @Test
    void refusesOutdatedLoadOrders() throws Exception {
        start(Map.of());
        assertThat(order("a", 5, "v2").getDone()).isTrue();
        assertThat(order("b", 4, "v1").getReason()).isEqualTo("old-fencing");
        assertThat(order("a", 5, "v2").getDone()).isTrue();
        assertThat(engine.version()).isEqualTo("v2");
        assertThat(engine.loadOrders()).hasSize(1);
    }

    /** Guards against work that is accepted without a current configuration. */
    @Test
    void refusesWithoutLease() throws Exception {
        start(Map.of());
        AnswerReader running = fixture.send(router, fixture.chat("r1", "run [len=4000]"));
        running.accepted();
        fixture.control().setLeaseMs(0);
        AgentFixture.await(() -> {
            try {
                return "configuration-lease-expired".equals(fixture.probe(router));
            } catch (Exception e) {
                throw new AssertionError(e);
            }
        });
        assertThat(running.finished().getFailure()).isEmpty();
    }

    /** Guards against a late dispatch that runs after its router was told that it never arrived. */
    @Test
    void refusesLateDispatchAfterTombstone() throws Exception {
        start(Map.of());
        RequestState state = fixture.query(router, "r1", 1, true);
        assertThat(state.getState()).isEqualTo(RequestState.State.NEVER_SEEN);
        assertThat(state.getTombstone()).isTrue();
        assertThat(fixture.send(router, fixture.chat("r1", "late")).refused().getReason())
                .isEqualTo("tombstone");
        fixture.send(router, fixture.chat("r1", "late").setAttempt(2)).finished();
    }

    /** Guards against a tombstone that is evicted to make room for another. */
    @Test
    void renewsIncarnationWhenTombstonesAreFull() throws Exception {
        start(Map.of("agent.tombstones", "2"));
        String old = fixture.agent().incarnation();
        // The running request prevents the agent from renewing its incarnation early.
        fixture.send(router, fixture.chat("run", "run [len=3000]")).accepted();
        for (String id : List.of("a", "b", "c")) {
            RequestState state = fixture.query(router, id, 1, true);
            assertThat(state.getTombstone()).isTrue();
            assertThat(state.getAgentIncarnation()).isEqualTo(old);
        }
        AgentFixture.await(() -> !fixture.agent().incarnation().equals(old));
        AgentFixture.await(() -> router.peer()
                .filter(p -> p.hello().getIncarnation().equals(fixture.agent().incarnation()))
                .isPresent());
        assertThat(fixture.send(router, fixture.chat("a", "late").setAgentIncarnation(old))
                        .refused()
                        .getReason())
                .isEqualTo("wrong-incarnation");
    }

    /** Guards against an agent that does not renew its incarnation while idle, but only when the limit is reached. */
    @Test
    void renewsIncarnationWhileIdle() throws Exception {
        start(Map.of("agent.tombstones", "4"));
        String old = fixture.agent().incarnation();
        fixture.query(router, "a", 1, true);
        fixture.query(router, "b", 1, true);
        AgentFixture.await(() -> !fixture.agent().incarnation().equals(old));
    }

    /** Guards against a planned stop that interrupts a request or loses its bill. */
    @Test
    void finishesRunningRequestsBeforeStopping() throws Exception {
        start(Map.of());
        AnswerReader running = fixture.send(router, fixture.chat("r1", "run [len=400]"));
        running.accepted();
        CompletableFuture<Void> stopped = CompletableFuture.runAsync(fixture.agent()::close);
        AgentFixture.await(() -> fixture.load().getLeaving());
        assertThat(fixture.send(router, fixture.chat("r2", "late")).refused().getReason())
                .isEqualTo("leaving");
        assertThat(running.finished().getFailure()).isEmpty();
        assertThat(running.text()).isEqualTo(ExpectedAnswer.to("run [len=400]").text());
        stopped.get(10, TimeUnit.SECONDS);
        assertThat(fixture.control().bills().keySet()).containsExactly("r1");
    }

    /** Guards against a request that is reported as never seen once its answer is no longer kept. */
    @Test
    void remembersRequestsWithDroppedAnswers() throws Exception {
        start(Map.of("agent.store-bytes", "0"));
        fixture.send(router, fixture.chat("r1", "gone [len=5]").setRepeatable(false))
                .finished();
        AgentFixture.await(() -> {
            try {
                return fixture.query(router, "r1", 1, true).getState() == RequestState.State.ANSWER_DROPPED;
            } catch (Exception e) {
                throw new AssertionError(e);
            }
        });
        Refused attach = fixture.attach(router, "r1", 0).refused();
        assertThat(attach.getReason()).isEqualTo("answer-expired");
        assertThat(attach.getRun()).isEqualTo(RunState.RUN_RAN);
        Refused again = fixture.send(router, fixture.chat("r1", "gone [len=5]").setRepeatable(false))
                .refused();
        assertThat(again.getRun()).isEqualTo(RunState.RUN_RAN);
        assertThat(engine.runs()).hasSize(1);
    }

    private void fence() {
        fixture.control()
                .push(Frame.newBuilder()
                        .setFenceRouter(FenceRouter.newBuilder().setIncarnation(AgentFixture.ROUTER))
                        .build());
    }

    private LoadOrderResult order(String id, long fencing, String version) throws Exception {
        fixture.control()
                .push(Frame.newBuilder()
                        .setLoadOrder(LoadOrder.newBuilder()
                                .setId(id)
                                .setFencing(fencing)
                                .setVersion(version))
                        .build());
        return fixture.control().otherFrames().poll(10, TimeUnit.SECONDS).getLoadOrderResult();
    }
}
