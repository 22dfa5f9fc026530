package org.ragwortrun.router;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.ragwortrun.core.id.Digests;
import org.ragwortrun.proto.Refused;
import org.ragwortrun.proto.RunState;

/** Guards against refusals with a missing member, a wrong reason or a wrong run state. */
final class RefusalDocumentsTest {
    private static RouterHarness harness;

    @BeforeAll
    static void start() throws Exception {
        harness = new RouterHarness(
                Map.of("http.max-body", "10000", "http.body-timeout", "300ms", "http.head-timeout", "300ms"));
    }

    @AfterAll
    static void stop() {
        harness.close();
    }

    @Test
    void unknownKey() throws Exception {
        HttpRequest.Builder r = HttpRequest.newBuilder(
                        harness.chat(true, "x").build().uri())
                .header("Authorization", "Bearer wrong")
                .POST(HttpRequest.BodyPublishers.ofString(RouterHarness.chatBody(true, "x")));
        assertRefused(harness.send(r), 401, "unknown-key", "not run");
    }

    @Test
    void unknownRoute() throws Exception {
        assertRefused(harness.get("/nowhere"), 404, "unknown-route", "not run");
        assertRefused(harness.get("/ordersarchive"), 404, "unknown-route", "not run");
    }

    @Test
    void malformedRequest() throws Exception {
        HttpRequest.Builder r = harness.request(RouterHarness.CHAT).POST(HttpRequest.BodyPublishers.ofString("{"));
        assertRefused(harness.send(r), 400, "malformed-request", "not run");
    }

    @Test
    void unknownBudget() throws Exception {
        HttpRequest.Builder r = HttpRequest.newBuilder(
                        harness.request("/orders/x").build().uri())
                .header("Authorization", "Bearer key-2")
                .GET();
        assertRefused(harness.send(r), 403, "unknown-budget", "not run");
    }

    @Test
    void keysOfRoutesThatRunOnce() throws Exception {
        HttpRequest.Builder none = harness.request(RouterHarness.ORDERS).POST(HttpRequest.BodyPublishers.noBody());
        assertRefused(harness.send(none), 400, "id-missing", "not run");
        assertRefused(harness.send(harness.order("plain", "x")), 400, "id-without-time", "not run");
        long ahead = System.currentTimeMillis() / 1000 + 3600;
        assertRefused(harness.send(harness.order(ahead + "-a", "x")), 400, "id-in-future", "not run");
    }

    @Test
    void requestTooLarge() throws Exception {
        HttpResponse<String> r = harness.send(harness.chat(true, "x".repeat(20_000)));
        assertRefused(r, 413, "request-too-large", "not run");
    }

    @Test
    void budgetSpent() throws Exception {
        HttpRequest.Builder r = HttpRequest.newBuilder(
                        harness.chat(true, "x").build().uri())
                .header("Authorization", "Bearer key-2")
                .POST(HttpRequest.BodyPublishers.ofString(RouterHarness.chatBody(true, "x")));
        assertRefused(harness.send(r), 402, "budget-spent", "not run");
    }

    @Test
    void forwardsRefusalOfAgent() throws Exception {
        harness.orders.refusal = (a, d) -> Refused.newBuilder()
                .setReason("endpoint-full")
                .setRun(RunState.RUN_NOT_RUN)
                .setRetryAfterMs(1500)
                .setDetail("full")
                .build();
        HttpResponse<String> r = harness.send(harness.order(RouterHarness.key("full"), "x"));
        harness.orders.refusal = (a, d) -> null;
        assertRefused(r, 503, "endpoint-full", "not run");
        assertThat(r.headers().firstValue("Retry-After").orElse("")).isEqualTo("2");
        HttpResponse<String> again = harness.send(harness.order(RouterHarness.key("full"), "x"));
        assertThat(again.statusCode()).isEqualTo(200);
    }

    /** Guards against requests that share a message which crashes endpoints and differ in everything else. */
    @Test
    void conversationWithMessageThatCrashesEndpoints() throws Exception {
        byte[] marker = RouterHarness.chatBody(true, "marker").getBytes(StandardCharsets.UTF_8);
        harness.control.quarantinePart(Digests.promptPart("gas", RouterHarness.message("deadly")));
        harness.control.refuseContent(Digests.content("POST", RouterHarness.CHAT, marker));
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(4);
        while (harness.send(harness.chat(true, "marker")).statusCode() != 422 && System.nanoTime() - end < 0) {
            TimeUnit.MILLISECONDS.sleep(50);
        }
        int dispatches = harness.first.dispatches.size() + harness.second.dispatches.size();
        for (int i = 1; i < 4; i++) {
            assertRefused(
                    harness.send(harness.conversation("q" + i, "hello", "deadly")), 503, "part-quarantined", "not run");
        }
        assertThat(harness.first.dispatches.size() + harness.second.dispatches.size())
                .isEqualTo(dispatches);
        assertThat(harness.send(harness.conversation("q", "hello")).statusCode())
                .isEqualTo(200);
    }

    /** Guards against a request that keeps crashing endpoints after the fleet has refused its content. */
    @Test
    void contentThatCrashesEndpoints() throws Exception {
        byte[] body = RouterHarness.chatBody(true, "deadly").getBytes(StandardCharsets.UTF_8);
        harness.control.refuseContent(Digests.content("POST", RouterHarness.CHAT, body));
        HttpResponse<String> r = harness.send(harness.chat(true, "deadly"));
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(4);
        while (r.statusCode() != 422 && System.nanoTime() - end < 0) {
            r = harness.send(harness.chat(true, "deadly"));
        }
        assertRefused(r, 422, "request-crashes-endpoints", "not run");
        int dispatches = harness.first.dispatches.size() + harness.second.dispatches.size();
        assertRefused(harness.send(harness.chat(true, "deadly")), 422, "request-crashes-endpoints", "not run");
        HttpRequest.Builder keyed = harness.chat(true, "deadly").header("Idempotency-Key", RouterHarness.key("deadly"));
        assertRefused(harness.send(keyed), 422, "request-crashes-endpoints", "not run");
        assertThat(harness.first.dispatches.size() + harness.second.dispatches.size())
                .isEqualTo(dispatches);
        assertThat(harness.send(harness.chat(true, "harmless")).statusCode()).isEqualTo(200);
    }

    /** Guards against callers that hold a connection by sending their body byte by byte. */
    @Test
    void slowBody() throws Exception {
        String answer = raw("POST " + RouterHarness.CHAT + " HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n{");
        assertThat(answer).contains("\"reason\":\"request-too-slow\"");
        assertThat(answer).startsWith("HTTP/1.1 408");
    }

    /** Guards against callers that hold a connection with an incomplete request head. */
    @Test
    void slowHead() throws Exception {
        assertThat(raw("POST " + RouterHarness.CHAT + " HTTP/1.1\r\nHost:")).isEmpty();
    }

    private static String raw(String request) throws IOException {
        try (Socket socket = new Socket("127.0.0.1", harness.router.port())) {
            socket.setSoTimeout(5_000);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            InputStream in = socket.getInputStream();
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        } catch (java.net.SocketException e) {
            return "";
        }
    }

    private static void assertRefused(HttpResponse<String> r, int status, String reason, String run)
            throws IOException {
        assertThat(r.statusCode()).isEqualTo(status);
        assertThat(r.headers().firstValue("Content-Type").orElse("")).startsWith("application/problem+json");
        JsonNode problem = new ObjectMapper().readTree(r.body());
        assertThat(problem.path("reason").asText()).isEqualTo(reason);
        assertThat(problem.path("run").asText()).isEqualTo(run);
        assertThat(problem.path("status").asInt()).isEqualTo(status);
        assertThat(problem.path("type").asText()).isNotEmpty();
        assertThat(problem.path("title").asText()).isNotEmpty();
        assertThat(problem.path("detail").asText()).isNotEmpty();
        assertThat(problem.path("request_id").asText())
                .isEqualTo(r.headers().firstValue("X-Request-Id").orElse("none"));
    }
}
