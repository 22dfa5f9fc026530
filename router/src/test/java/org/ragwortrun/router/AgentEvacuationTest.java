package org.ragwortrun.router;

import static com.google.common.truth.Truth.assertThat;

import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.ragwortrun.core.id.Digests;
import org.ragwortrun.proto.Refused;
import org.ragwortrun.proto.RunState;

/** Tests evacuations and home regions on the path over agents. */
final class AgentEvacuationTest {
    private static final int REQUESTS = 10;

    private RouterHarness harness;

    @BeforeEach
    void start() throws Exception {
        harness = new RouterHarness(Map.of("regions.data-centers", "a=north,b=south"));
        move("m2", harness.second, "b");
    }

    @AfterEach
    void stop() {
        harness.close();
    }

    @Test
    void sendsNothingToEvacuatedDataCenter() throws Exception {
        harness.control.evacuate("a", true);
        send(REQUESTS);
        assertThat(harness.first.dispatches).isEmpty();
        assertThat(harness.second.dispatches).hasSize(REQUESTS);
        harness.control.evacuate("b", true);
        assertNoEndpoint(harness.send(harness.chat(false, "x")));
        harness.control.evacuate("a", false);
        send(1);
        assertThat(harness.first.dispatches).hasSize(1);
        assertThat(harness.second.dispatches).hasSize(REQUESTS);
    }

    /** Guards against a retry in a data center whose evacuation began after the first attempt. */
    @Test
    void retryDoesNotReachEvacuatedDataCenter() throws Exception {
        harness.control.evacuate("b", true);
        harness.first.refusal = (agent, dispatch) -> {
            begin("a");
            end("b");
            agent.refusal = (a, d) -> null;
            return Refused.newBuilder()
                    .setReason("endpoint-full")
                    .setRun(RunState.RUN_NOT_RUN)
                    .build();
        };
        assertThat(harness.send(harness.chat(false, "x")).statusCode()).isEqualTo(200);
        assertThat(harness.first.dispatches).hasSize(1);
        assertThat(harness.second.dispatches).hasSize(1);
    }

    /** Guards against a request that is dispatched after the evacuation began, because its claim has taken time. */
    @Test
    void requestIsCheckedAgainWhenItIsDispatched() throws Exception {
        harness.control.ignoresClaims = true;
        HttpRequest.Builder order = harness.request("/orders/1").GET();
        // Without the register, a request that may be repeated is dispatched without a claim after 1.5 s.
        assertThat(harness.send(order.copy().header("Idempotency-Key", RouterHarness.key("k1")))
                        .statusCode())
                .isEqualTo(200);
        CompletableFuture<HttpResponse<String>> answer =
                harness.sendAsync(order.copy().header("Idempotency-Key", RouterHarness.key("k2")));
        TimeUnit.MILLISECONDS.sleep(500);
        assertThat(answer.isDone()).isFalse();
        harness.control.evacuate("a", true);
        assertNoEndpoint(answer.get());
        assertThat(harness.orders.dispatches).hasSize(1);
    }

    /** Guards against requests of a restricted account over agents in another or in an unknown region. */
    @Test
    void regionsOfAccountBind() throws Exception {
        restrict("south");
        send(REQUESTS);
        assertThat(harness.first.dispatches).isEmpty();
        move("m2", harness.second, "c");
        restrict("south");
        assertNoEndpoint(harness.send(harness.chat(false, "x")));
        assertThat(harness.second.dispatches).hasSize(REQUESTS);
    }

    private void begin(String dataCenter) {
        order(dataCenter, true);
    }

    private void end(String dataCenter) {
        order(dataCenter, false);
    }

    private void order(String dataCenter, boolean begin) {
        try {
            harness.control.evacuate(dataCenter, begin);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void restrict(String regions) throws Exception {
        harness.control.putSection(
                "account",
                RouterHarness.ACCOUNT,
                Map.of("keys", Digests.apiKey(RouterHarness.KEY), "regions", regions));
        // Any order sends the whole configuration.
        harness.control.evacuate("nowhere" + harness.second.dispatches.size(), true);
    }

    private void move(String name, FakeAgent agent, String dataCenter) {
        harness.control.putSection(
                "endpoint",
                name,
                Map.of(
                        "service", "assay",
                        "version", "v1",
                        "agent", "127.0.0.1:" + agent.port(),
                        "url", "http://127.0.0.1:1",
                        "data-center", dataCenter));
    }

    private void send(int requests) throws Exception {
        for (int i = 0; i < requests; i++) {
            assertThat(harness.send(harness.chat(false, "question " + i)).statusCode())
                    .isEqualTo(200);
        }
    }

    private static void assertNoEndpoint(HttpResponse<String> answer) {
        assertThat(answer.statusCode()).isEqualTo(503);
        assertThat(answer.body()).contains("no-endpoint");
        assertThat(answer.body()).contains("\"run\":\"not run\"");
        assertThat(answer.headers().firstValue("Retry-After")).isPresent();
    }
}
