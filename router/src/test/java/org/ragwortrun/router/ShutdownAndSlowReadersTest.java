package org.ragwortrun.router;

import static com.google.common.truth.Truth.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.ragwortrun.proto.BudgetStatement;
import org.ragwortrun.proto.ShardCommand;

final class ShutdownAndSlowReadersTest {
    private static final int LONG_ANSWER = 2_000_000;

    private RouterHarness harness;

    @BeforeEach
    void start() throws Exception {
        harness = new RouterHarness(Map.of());
    }

    @AfterEach
    void stop() {
        harness.close();
    }

    /** Guards against a slow reader that fills memory or delays another reader. */
    @Test
    void slowReaderUsesLittleMemoryAndDelaysNobody() throws Exception {
        String text = "x".repeat(LONG_ANSWER);
        harness.first.text = text;
        harness.second.text = text;
        harness.first.chunkSize = 100;
        harness.second.chunkSize = 100;
        try (Socket slow = new Socket()) {
            slow.setReceiveBufferSize(8 << 10);
            slow.connect(new InetSocketAddress("127.0.0.1", harness.router.port()));
            String body = RouterHarness.chatBody(true, "x");
            slow.getOutputStream()
                    .write(("POST " + RouterHarness.CHAT + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
                                    + "Authorization: Bearer " + RouterHarness.KEY + "\r\nContent-Length: "
                                    + body.length() + "\r\n\r\n" + body)
                            .getBytes(StandardCharsets.US_ASCII));
            FakeAgent.sleep(700);
            long held = Math.max(harness.first.maxSent, harness.second.maxSent);
            assertThat(held).isGreaterThan(0);
            // 64 KiB in the router, and the contents of the two socket buffers.
            assertThat(held).isLessThan(512 << 10);
            harness.first.text = "quick";
            harness.second.text = "quick";
            long before = System.nanoTime();
            HttpResponse<String> fast = harness.send(harness.chat(true, "y"));
            assertThat(RouterHarness.streamedText(fast.body())).isEqualTo("quick");
            assertThat(Duration.ofNanos(System.nanoTime() - before)).isLessThan(Duration.ofSeconds(1));
            String all = readAll(slow);
            assertThat(all).contains("data: [DONE]");
            assertThat(all.chars().filter(c -> c == 'x').count()).isAtLeast(LONG_ANSWER);
        }
    }

    /** Guards against an endpoint that keeps working for a caller who has disconnected. */
    @Test
    void cancelsRequestWhenCallerDisconnects() throws Exception {
        harness.first.text = "x".repeat(20_000);
        harness.second.text = harness.first.text;
        harness.first.holdAt = 10;
        harness.second.holdAt = 10;
        try (Socket caller = new Socket("127.0.0.1", harness.router.port())) {
            String body = RouterHarness.chatBody(true, "x");
            caller.getOutputStream()
                    .write(("POST " + RouterHarness.CHAT + " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "
                                    + RouterHarness.KEY + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                            .getBytes(StandardCharsets.US_ASCII));
            RouterHarness.await(() -> Math.max(harness.first.maxSent, harness.second.maxSent) == 10);
        }
        // The router notices a closed connection when it writes to it.
        RouterHarness.await(() -> {
            harness.first.advance();
            harness.second.advance();
            return harness.first.cancelled.size() + harness.second.cancelled.size() == 1;
        });
        harness.first.release();
        harness.second.release();
    }

    /** Guards against a caller who waits past the deadline of the route. */
    @Test
    void cancelsRequestAtDeadline() throws Exception {
        harness.first.holdAt = 0;
        harness.second.holdAt = 0;
        HttpResponse<String> r = harness.send(harness.request(RouterHarness.QUICK)
                .POST(HttpRequest.BodyPublishers.ofString(RouterHarness.chatBody(true, "x"))));
        assertThat(r.statusCode()).isEqualTo(504);
        assertThat(r.body()).contains("\"reason\":\"endpoint-timeout\"");
        assertThat(r.body()).contains("\"run\":\"unknown\"");
        // The answer to the caller and the cancellation at the agent use two connections and may arrive in any order.
        RouterHarness.await(() -> harness.first.cancelled.size() + harness.second.cancelled.size() > 0);
        assertThat(harness.first.cancelled.size() + harness.second.cancelled.size())
                .isEqualTo(1);
        harness.first.release();
        harness.second.release();
    }

    /** Guards against a caller who gets no answer at all when a shutdown interrupts the request. */
    @Test
    void answersRequestInterruptedByShutdown() throws Exception {
        harness.close();
        harness = new RouterHarness(Map.of("daemon.stop-timeout", "400ms"));
        harness.first.holdAt = 0;
        harness.second.holdAt = 0;
        CompletableFuture<HttpResponse<String>> call = harness.sendAsync(harness.chat(true, "x"));
        RouterHarness.await(() -> harness.first.dispatches.size() + harness.second.dispatches.size() == 1);
        harness.router.close();
        HttpResponse<String> answer = call.get();
        assertThat(answer.statusCode()).isEqualTo(502);
        assertThat(answer.body()).contains("\"run\":\"unknown\"");
        harness.first.release();
        harness.second.release();
    }

    /** Guards against a shutdown that interrupts a stream, loses a bill or keeps a grant. */
    @Test
    void shutdownFinishesStreamsAndReturnsGrants() throws Exception {
        harness.first.holdAt = 10;
        harness.second.holdAt = 10;
        CompletableFuture<HttpResponse<String>> call = harness.sendAsync(harness.chat(true, "x"));
        RouterHarness.await(() -> Math.max(harness.first.maxSent, harness.second.maxSent) == 10);
        CompletableFuture<Void> stop = CompletableFuture.runAsync(() -> harness.router.close());
        RouterHarness.await(() -> !harness.isReady());
        HttpResponse<String> refused = harness.send(harness.chat(true, "y"));
        assertThat(refused.statusCode()).isEqualTo(503);
        assertThat(refused.body()).contains("\"reason\":\"stopping\"");
        assertThat(refused.body()).contains("\"run\":\"not run\"");
        harness.first.release();
        harness.second.release();
        assertThat(RouterHarness.streamedText(call.get().body())).isEqualTo(harness.first.text);
        stop.get();
        BudgetStatement assay = harness.control.statement(RouterHarness.ACCOUNT).getBudgetsList().stream()
                .filter(b -> b.getBudget().getService().equals("assay"))
                .findFirst()
                .orElseThrow();
        assertThat(assay.getSettled()).isEqualTo(10);
        assertThat(assay.getBills()).isEqualTo(1);
        assertThat(assay.getHeld()).isEqualTo(0);
        assertThat(harness.control.commands.stream()
                        .filter(ShardCommand::hasCloseSession)
                        .filter(c -> c.getCloseSession().getOrderly())
                        .count())
                .isEqualTo(FakeControl.SHARDS);
    }

    private static String readAll(Socket socket) throws Exception {
        socket.setSoTimeout(10_000);
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        InputStream in = socket.getInputStream();
        in.transferTo(all);
        return all.toString(StandardCharsets.UTF_8);
    }
}
