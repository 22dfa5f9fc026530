package org.ragwortrun.router;

import static com.google.common.truth.Truth.assertThat;
import static org.ragwortrun.router.ScriptedEndpoint.ok;
import static org.ragwortrun.router.ScriptedEndpoint.write;

import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests requests that wait at a router until an endpoint has room. */
final class AdmissionQueueTest {
    // The fewest connections that a router may open to an endpoint.
    private static final int CONNECTIONS = 4;
    private static final String FULL = "HTTP/1.1 503 No\r\nRagwortrun-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";

    private final AtomicInteger ids = new AtomicInteger();
    private final CountDownLatch room = new CountDownLatch(1);
    private ForwardHarness harness;
    private ScriptedEndpoint endpoint;
    private ForwardHarness.Router router;

    @BeforeEach
    void start() throws Exception {
        harness = new ForwardHarness();
        harness.control.putSection("origin", "o", Map.of("tokens-per-event", "2", "max-connections", "1"));
        endpoint = harness.addEndpoint("e1", this::answerWhenRoom);
        router = harness.startRouter("r1", Map.of("scheduling.enabled", "yes"));
    }

    @AfterEach
    void stop() {
        harness.close();
    }

    private boolean answerWhenRoom(String request, OutputStream out) throws IOException, InterruptedException {
        room.await(4, TimeUnit.SECONDS);
        write(out, ok(id(request), "done"));
        return true;
    }

    /** Guards against a request that is refused, or sent over a further connection, while all are in use for a moment. */
    @Test
    void waitsForConnectionAndIsServed() throws Exception {
        List<CompletableFuture<String>> answers = occupy();
        CompletableFuture<String> waiting = call("/order/", "");
        TimeUnit.MILLISECONDS.sleep(200);
        assertThat(waiting.isDone()).isFalse();
        assertThat(endpoint.requests).hasSize(CONNECTIONS);
        room.countDown();
        assertThat(waiting.get()).startsWith("HTTP/1.1 200");
        for (CompletableFuture<String> a : answers) {
            assertThat(a.get()).startsWith("HTTP/1.1 200");
        }
        assertThat(endpoint.requests).hasSize(CONNECTIONS + 1);
    }

    /** Guards against a disconnected caller's request that takes an endpoint's room, or stays in the queue. */
    @Test
    void removesRequestOfDisconnectedCaller() throws Exception {
        occupy();
        try (Socket s = new Socket("127.0.0.1", router.port())) {
            s.getOutputStream().write(request("/order/left", "").getBytes(StandardCharsets.ISO_8859_1));
            TimeUnit.MILLISECONDS.sleep(200);
        }
        TimeUnit.MILLISECONDS.sleep(100);
        CompletableFuture<String> next = call("/order/next", "");
        room.countDown();
        assertThat(next.get()).startsWith("HTTP/1.1 200");
        assertThat(endpoint.requests.stream().filter(r -> r.contains("/order/left")))
                .isEmpty();
    }

    /** Guards against requests that a stop cuts off, or that wait until their host stops. */
    @Test
    void stopRefusesWaitingRequestsThatCannotEndInTime() throws Exception {
        List<CompletableFuture<String>> answers = occupy();
        CompletableFuture<String> waiting = call("/order/", "");
        TimeUnit.MILLISECONDS.sleep(100);
        long begin = System.nanoTime();
        CompletableFuture<Void> stopped =
                CompletableFuture.runAsync(() -> router.daemon().close());
        String refused = waiting.get();
        assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - begin)).isLessThan(1_000);
        assertThat(refused).startsWith("HTTP/1.1 503");
        assertThat(refused).contains("\"run\":\"not run\"");
        assertThat(refused).contains("stopping");
        room.countDown();
        for (CompletableFuture<String> a : answers) {
            assertThat(a.get()).startsWith("HTTP/1.1 200");
        }
        stopped.get(5, TimeUnit.SECONDS);
        assertThat(endpoint.requests).hasSize(CONNECTIONS);
    }

    /** Guards against a waiting request that a stop refuses although it would end in time. */
    @Test
    void stopServesWaitingRequestsThatEndInTime() throws Exception {
        room.countDown();
        for (int i = 0; i < 8; i++) {
            call("/read/", "").get();
        }
        CountDownLatch later = new CountDownLatch(1);
        endpoint.script = (request, out) -> {
            later.await(4, TimeUnit.SECONDS);
            write(out, ok(id(request), "done"));
            return true;
        };
        endpoint.requests.clear();
        occupy("/read/");
        CompletableFuture<String> waiting = call("/read/", "");
        TimeUnit.MILLISECONDS.sleep(100);
        CompletableFuture<Void> stopped =
                CompletableFuture.runAsync(() -> router.daemon().close());
        TimeUnit.MILLISECONDS.sleep(200);
        later.countDown();
        assertThat(waiting.get()).startsWith("HTTP/1.1 200");
        stopped.get(5, TimeUnit.SECONDS);
    }

    /** Guards against a request that is refused although the only endpoint that rejected it has room soon. */
    @Test
    void endpointThatRejectedIsTriedAgain() throws Exception {
        AtomicInteger rejections = new AtomicInteger();
        endpoint.script = (request, out) -> {
            if (room.getCount() > 0) {
                rejections.incrementAndGet();
                write(out, FULL.replaceFirst("\r\n", "\r\nX-Request-Id: " + id(request) + "\r\n"));
                return true;
            }
            write(out, ok(id(request), "done"));
            return true;
        };
        CompletableFuture<String> answer = call("/order/", "");
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ForwardHarness.TIMEOUT_MS);
        while (rejections.get() == 0 && System.nanoTime() < end) {
            TimeUnit.MILLISECONDS.sleep(1);
        }
        room.countDown();
        assertThat(answer.get()).startsWith("HTTP/1.1 200");
        assertThat(rejections.get()).isAtLeast(1);
    }

    /** Guards against retries at a full endpoint beyond the allowance of the origin. */
    @Test
    void fullEndpointGetsNoMoreRetriesThanAllowed() throws Exception {
        endpoint.script = (request, out) -> {
            write(out, FULL.replaceFirst("\r\n", "\r\nX-Request-Id: " + id(request) + "\r\n"));
            return true;
        };
        String answer = call("/order/", "Ragwortrun-Deadline-Ms: 1500\r\n").get();
        assertThat(answer).startsWith("HTTP/1.1 503");
        assertThat(answer).contains("\"run\":\"not run\"");
        // The request, and five retries that each router may make in addition to a share of its requests.
        assertThat(endpoint.requests.size()).isAtMost(6);
    }

    /** Guards against a second run at the same endpoint of a request whose answer was lost after it had waited. */
    @Test
    void onceRequestIsNotRepeatedAfterLostAnswer() throws Exception {
        AtomicInteger runs = new AtomicInteger();
        occupy();
        endpoint.script = (request, out) -> {
            if (request.contains("/order/lost")) {
                runs.incrementAndGet();
                return false;
            }
            write(out, ok(id(request), "done"));
            return true;
        };
        CompletableFuture<String> lost = call("/order/lost", "");
        TimeUnit.MILLISECONDS.sleep(100);
        room.countDown();
        assertThat(lost.get()).startsWith("HTTP/1.1 502");
        TimeUnit.MILLISECONDS.sleep(100);
        assertThat(runs.get()).isEqualTo(1);
    }

    /** Guards against a request that is held until its deadline although nothing leaves the queue. */
    @Test
    void refusesRequestEarlyEnoughForRetryElsewhere() throws Exception {
        occupy();
        long begin = System.nanoTime();
        String answer = call("/order/", "").get();
        long elapsed = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - begin);
        assertThat(answer).startsWith("HTTP/1.1 503");
        assertThat(answer).contains("wait-too-long");
        assertThat(answer.toLowerCase(Locale.ROOT)).contains("retry-after: ");
        // Half of the time limit of three seconds.
        assertThat(elapsed).isLessThan(2_000);
    }

    private List<CompletableFuture<String>> occupy() throws InterruptedException {
        return occupy("/order/");
    }

    private List<CompletableFuture<String>> occupy(String target) throws InterruptedException {
        List<CompletableFuture<String>> answers = new ArrayList<>();
        for (int i = 0; i < CONNECTIONS; i++) {
            answers.add(call(target, ""));
        }
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ForwardHarness.TIMEOUT_MS);
        while (endpoint.requests.size() < CONNECTIONS && System.nanoTime() < end) {
            TimeUnit.MILLISECONDS.sleep(5);
        }
        return answers;
    }

    private CompletableFuture<String> call(String target, String header) {
        String text = request(target, header);
        return CompletableFuture.supplyAsync(
                () -> {
                    try {
                        return router.send(text);
                    } catch (IOException e) {
                        throw new UncheckedIOException(e);
                    }
                },
                task -> new Thread(task, "caller").start());
    }

    private String request(String target, String header) {
        return "GET " + target + " HTTP/1.1\r\nHost: h\r\nX-Request-Id: q" + ids.incrementAndGet()
                + "\r\nAuthorization: Bearer secret\r\n" + header + "Connection: close\r\n\r\n";
    }

    private static String id(String request) {
        return request.split("X-Request-Id: ", 2)[1].split("\r", 2)[0];
    }
}
