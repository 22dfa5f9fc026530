package org.ragwortrun.agent;

import static com.google.common.truth.Truth.assertThat;

import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.ragwortrun.core.concurrent.Closer;
import org.ragwortrun.net.FrameClient;
import org.ragwortrun.proto.Finished;
import org.ragwortrun.proto.Refused;
import org.ragwortrun.proto.RequestState;
import org.ragwortrun.proto.RunState;
import org.ragwortrun.proto.Usage;
import org.ragwortrun.standins.Behaviour;
import org.ragwortrun.standins.ServiceOptions;
import org.ragwortrun.standins.StandinService;

final class PlainEndpointTest {
    private final Closer closer = new Closer();
    private StandinService service;
    private AgentFixture fixture;
    private FrameClient router;

    private void start(ServiceOptions options, Map<String, String> settings) throws Exception {
        service = closer.register(StandinService.start(options));
        fixture = closer.register(new AgentFixture(
                "plain", service.url(), Map.of("slots", "4", "dedupe-header", options.dedupeHeader()), settings));
        router = fixture.connect();
    }

    @AfterEach
    void stop() {
        closer.close();
    }

    /** Guards against an order whose answer is missing from the register, or that is billed at a wrong price. */
    @Test
    void forwardsOrderAndBillsItsPrice() throws Exception {
        start(ServiceOptions.defaults(), Map.of());
        AnswerReader answer = fixture.send(router, fixture.order("o1").setReserved(10));
        assertThat(answer.finished().getRun()).isEqualTo(RunState.RUN_RAN);
        assertThat(answer.status()).isEqualTo(201);
        assertThat(answer.text()).contains("\"key\":\"o1\"");
        AgentFixture.await(() -> fixture.control().bills().containsKey("o1"));
        Usage bill = fixture.control().bills().get("o1");
        assertThat(bill.getTokens()).isEqualTo(10);
        assertThat(bill.getStatus()).isEqualTo(201);
        assertThat(bill.getAnswer().toStringUtf8()).isEqualTo(answer.text());
        assertThat(service.runs("o1")).isEqualTo(1);
    }

    /** Guards against an order that is retried, or reported as not run, after its connection was lost. */
    @Test
    void reportsUnknownOutcomeOfInterruptedOrder() throws Exception {
        start(ServiceOptions.defaults(), Map.of());
        service.fail(StandinService.Fault.CLOSE_AFTER_RUN, 1);
        Finished finished = fixture.send(router, fixture.order("o1")).finished();
        assertThat(finished.getFailure()).isEqualTo("endpoint-failed");
        assertThat(finished.getRun()).isEqualTo(RunState.RUN_UNKNOWN);
        Finished again = fixture.send(router, fixture.order("o1").setAttempt(2)).finished();
        assertThat(again.getRun()).isEqualTo(RunState.RUN_UNKNOWN);
        assertThat(service.runs("o1")).isEqualTo(1);
        assertThat(fixture.control().bills()).isEmpty();
    }

    /** Guards against an outcome that stays unknown although the service deduplicates orders. */
    @Test
    void findsOutcomeByDeduplication() throws Exception {
        start(ServiceOptions.defaults().withDedupeHeader("X-Order-Key"), Map.of("endpoint.dedupe-pause", "20ms"));
        service.fail(StandinService.Fault.CLOSE_AFTER_RUN, 3);
        AnswerReader answer = fixture.send(router, fixture.order("o1"));
        assertThat(answer.finished().getFailure()).isEmpty();
        assertThat(answer.status()).isEqualTo(201);
        assertThat(service.runs("o1")).isEqualTo(1);
    }

    /** Guards against unlimited retries. */
    @Test
    void limitsRetries() throws Exception {
        start(
                ServiceOptions.defaults().withDedupeHeader("X-Order-Key"),
                Map.of("endpoint.dedupe-pause", "5ms", "endpoint.dedupe-repeats", "2"));
        service.fail(StandinService.Fault.CLOSE_AFTER_RUN, 100);
        assertThat(fixture.send(router, fixture.order("o1")).finished().getRun())
                .isEqualTo(RunState.RUN_UNKNOWN);
        assertThat(service.runs("o1")).isEqualTo(1);
    }

    /** Guards against an order whose outcome is reported as unknown although the service was unreachable. */
    @Test
    void reportsOrderNotRunIfServiceIsDown() throws Exception {
        start(ServiceOptions.defaults(), Map.of("endpoint.health-interval", "10m"));
        service.crash();
        Refused refused = fixture.send(router, fixture.order("o1")).refused();
        assertThat(refused.getReason()).isEqualTo("endpoint-failed");
        assertThat(refused.getRun()).isEqualTo(RunState.RUN_NOT_RUN);
        assertThat(fixture.query(router, "o1", 1, false).getState()).isEqualTo(RequestState.State.REFUSED);
        service.restart();
        AgentFixture.await(() -> service.runs("o1") == 0);
    }

    /** Guards against cancelling an order after it was sent to the service. */
    @Test
    void finishesOrderDespiteCancel() throws Exception {
        start(ServiceOptions.defaults().withDelayMs(200), Map.of());
        AnswerReader answer = fixture.send(router, fixture.order("o1").setReserved(10));
        answer.accepted();
        AgentFixture.await(() -> fixture.load().getRunning() == 1);
        answer.cancel("caller-left");
        AgentFixture.await(() -> fixture.control().bills().containsKey("o1"));
        assertThat(service.runs("o1")).isEqualTo(1);
    }

    /** Guards against a request that stays active beyond its deadline because the service hangs. */
    @Test
    void endsRequestAtDeadline() throws Exception {
        start(ServiceOptions.defaults(), Map.of());
        service.setBehaviour(Behaviour.slow(3_000, -1).onRoute("/orders"));
        Finished finished =
                fixture.send(router, fixture.order("o1").setDeadlineMs(100)).finished();
        assertThat(finished.getFailure()).isEqualTo("endpoint-timeout");
        assertThat(finished.getRun()).isEqualTo(RunState.RUN_UNKNOWN);
    }

    /** Guards against a repeatable request whose failure is billed before it is retried on another endpoint. */
    @Test
    void doesNotBillServerErrorOfRepeatableRequest() throws Exception {
        start(ServiceOptions.defaults(), Map.of());
        service.setBehaviour(Behaviour.failing(1_000));
        AnswerReader answer = fixture.send(router, fixture.order("s1").setRepeatable(true));
        assertThat(answer.finished().getFailure()).isEqualTo("endpoint-failed");
        assertThat(answer.status()).isEqualTo(500);
        assertThat(fixture.control().reports()).isEmpty();
    }
}
