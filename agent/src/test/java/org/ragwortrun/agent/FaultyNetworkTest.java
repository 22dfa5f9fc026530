package org.ragwortrun.agent;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.ragwortrun.core.concurrent.Closer;
import org.ragwortrun.net.FrameClient;
import org.ragwortrun.proto.Finished;
import org.ragwortrun.proto.RunState;
import org.ragwortrun.standins.EngineOptions;
import org.ragwortrun.standins.ExpectedAnswer;
import org.ragwortrun.standins.FaultProxy;
import org.ragwortrun.standins.ServiceOptions;
import org.ragwortrun.standins.StandinEngine;
import org.ragwortrun.standins.StandinService;

final class FaultyNetworkTest {
    private final Closer closer = new Closer();
    private StandinEngine engine;
    private FaultProxy proxy;

    private AgentFixture engineBehindProxy(EngineOptions options, Map<String, String> settings) throws Exception {
        engine = closer.register(StandinEngine.start(options));
        proxy = closer.register(FaultProxy.start("127.0.0.1", 0, "127.0.0.1", engine.port()));
        return closer.register(new AgentFixture("model", "http://" + proxy.address(), Map.of("slots", "8"), settings));
    }

    @AfterEach
    void stop() {
        closer.close();
    }

    /** Guards against a request that waits forever on an unresponsive endpoint that keeps its connections open. */
    @Test
    void failsRequestsOnUnresponsiveEndpoint() throws Exception {
        AgentFixture fixture =
                engineBehindProxy(EngineOptions.defaults().withTokenMs(2), Map.of("endpoint.dead-after", "500ms"));
        FrameClient router = fixture.connect();
        AnswerReader answer = fixture.send(router, fixture.chat("r1", "silent [len=4000]"));
        AgentFixture.await(() -> answer.length() > 20);
        proxy.freeze();
        Finished finished = answer.finished();
        assertThat(finished.getFailure()).isEqualTo("endpoint-failed");
        assertThat(ExpectedAnswer.to("silent [len=4000]").text()).startsWith(answer.text());
        AgentFixture.await(() -> !fixture.load().getHealthy());
        AgentFixture.await(() -> fixture.control().crashes().size() == 1);
        proxy.heal();
        AgentFixture.await(() -> fixture.load().getHealthy());
        fixture.send(router, fixture.chat("r2", "healed [len=5]")).finished();
    }

    /** Guards against an incomplete answer that is reported as complete. */
    @Test
    void reportsInterruptedStream() throws Exception {
        AgentFixture fixture = engineBehindProxy(EngineOptions.defaults().withTokenMs(1), Map.of());
        FrameClient router = fixture.connect();
        proxy.resetAfter(20_000);
        AnswerReader answer = fixture.send(router, fixture.chat("r1", "break [len=4000]"));
        Finished finished = answer.finished();
        assertThat(finished.getFailure()).isEqualTo("endpoint-failed");
        assertThat(finished.getLength()).isEqualTo(answer.length());
        assertThat(ExpectedAnswer.to("break [len=4000]").text()).startsWith(answer.text());
    }

    /** Guards against an order that ran but is reported as not run because its answer was lost. */
    @Test
    void reportsUnknownOutcomeIfAnswerIsLost() throws Exception {
        StandinService service = closer.register(StandinService.start(ServiceOptions.defaults()));
        proxy = closer.register(FaultProxy.start("127.0.0.1", 0, "127.0.0.1", service.port()));
        AgentFixture fixture =
                closer.register(new AgentFixture("plain", "http://" + proxy.address(), Map.of(), Map.of()));
        FrameClient router = fixture.connect();
        proxy.drop(FaultProxy.Direction.TO_CLIENT);
        AnswerReader answer = fixture.send(router, fixture.order("o1").setDeadlineMs(500));
        Finished finished = answer.finished();
        assertThat(finished.getRun()).isEqualTo(RunState.RUN_UNKNOWN);
        assertThat(service.runs("o1")).isEqualTo(1);
    }

    /** Guards against memory use that grows with the number of answers that routers do not read. */
    @Test
    void boundsMemoryOfSlowReaders() throws Exception {
        int bound = 20_000;
        AgentFixture fixture = engineBehindProxy(
                EngineOptions.defaults(),
                Map.of("agent.total-unsent", Integer.toString(bound), "agent.queue-wait", "10s"));
        FrameClient router = fixture.connect();
        List<AnswerReader> slow = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            slow.add(fixture.sendSlow(
                    router, fixture.chat("r" + i, "slow " + i + " [len=20000]").setCredit(100)));
        }
        for (AnswerReader r : slow) {
            r.accepted();
        }
        TimeUnit.SECONDS.sleep(2);
        // The engine may have finished, because the kernel buffers its events; the agent must not have read them.
        assertThat(fixture.load().getHealthy()).isTrue();
        assertThat(fixture.agent().unsentBytes()).isAtMost(bound + 8 * (16 << 10));
        for (int i = 0; i < 8; i++) {
            slow.get(i).credit(10 << 20);
        }
        for (int i = 0; i < 8; i++) {
            assertThat(slow.get(i).finished().getFailure()).isEmpty();
            String expected = ExpectedAnswer.to("slow " + i + " [len=20000]").text();
            assertThat(slow.get(i).length()).isEqualTo(expected.length());
            assertThat(slow.get(i).text().equals(expected)).isTrue();
        }
    }
}
