package org.ragwortrun.router;

import static com.google.common.truth.Truth.assertThat;
import static org.ragwortrun.router.ScriptedEndpoint.chunk;
import static org.ragwortrun.router.ScriptedEndpoint.ok;
import static org.ragwortrun.router.ScriptedEndpoint.streamHead;
import static org.ragwortrun.router.ScriptedEndpoint.write;

import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests endpoints that announce in answers that they are leaving, or send Retry-After, while listed as ready. */
final class EndpointNoticesTest {
    private static final String LEAVING = "Ragwortrun-Leaving: 1\r\n";
    private static final int REQUESTS = 12;

    private final AtomicInteger ids = new AtomicInteger();
    private ForwardHarness harness;
    private ScriptedEndpoint first;
    private ScriptedEndpoint second;
    private ForwardHarness.Router router;

    @BeforeEach
    void start() throws Exception {
        harness = new ForwardHarness();
        first = harness.addEndpoint("e1", EndpointNoticesTest::echo);
        second = harness.addEndpoint("e2", EndpointNoticesTest::echo);
        router = harness.startRouter("r1");
        // Idle endpoints are ranked by a hash, so the one that gets the first request gets the next ones as well.
        call("/order/");
        if (first.requests.isEmpty()) {
            ScriptedEndpoint other = first;
            first = second;
            second = other;
        }
        first.requests.clear();
    }

    @AfterEach
    void stop() {
        harness.close();
    }

    private static boolean echo(String request, OutputStream out) throws IOException {
        write(out, ok(id(request), "done"));
        return true;
    }

    private static ScriptedEndpoint.Script answeringWith(String header) {
        return (request, out) -> {
            write(out, withHeader(ok(id(request), "done"), header));
            return true;
        };
    }

    @Test
    void sendsNothingToEndpointThatAnnouncedLeavingInAnswer() throws Exception {
        first.script = answeringWith(LEAVING);
        send(REQUESTS);
        // Meanwhile the list is read again and still shows the endpoint as ready.
        TimeUnit.MILLISECONDS.sleep(3_600);
        send(REQUESTS);
        assertThat(first.requests).hasSize(1);
        assertThat(second.requests).hasSize(2 * REQUESTS - 1);
    }

    @Test
    void sendsNothingToEndpointThatAnnouncedLeavingInRefusal() throws Exception {
        first.script = refusingWith(LEAVING);
        second.script = refusingWith("");
        assertThat(call("/order/")).startsWith("HTTP/1.1 503");
        second.script = EndpointNoticesTest::echo;
        send(REQUESTS);
        assertThat(first.requests).hasSize(1);
    }

    /** Guards against a stream that is aborted, or an endpoint that gets more requests, after it announced leaving. */
    @Test
    void completesStreamOfLeavingEndpoint() throws Exception {
        CountDownLatch sent = new CountDownLatch(1);
        ScriptedEndpoint.Script stream = (request, out) -> {
            if (!request.contains("/draft/")) {
                return echo(request, out);
            }
            write(out, withHeader(streamHead(id(request)), LEAVING) + chunk("id: 1\ndata: a\n\n"));
            sent.await(5, TimeUnit.SECONDS);
            write(out, chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n");
            return true;
        };
        first.script = stream;
        second.script = stream;
        CompletableFuture<String> answer = CompletableFuture.supplyAsync(() -> unchecked("/draft/"));
        while (first.requests.size() + second.requests.size() == 0) {
            TimeUnit.MILLISECONDS.sleep(5);
        }
        TimeUnit.MILLISECONDS.sleep(200);
        send(REQUESTS);
        sent.countDown();
        assertThat(answer.get()).contains("data: b");
        assertThat(answer.get()).endsWith("0\r\n\r\n");
        assertThat(Math.min(first.requests.size(), second.requests.size())).isEqualTo(1);
    }

    @Test
    void appliesNoticeOfDroppedAnswerOnlyToItsEndpoint() throws Exception {
        String self = first.listed().getId();
        for (String of : List.of(second.listed().getId(), self)) {
            first.script = (request, out) -> {
                String copy = withHeader(ok("other", "x"), LEAVING + "Ragwortrun-Endpoint: " + of + "\r\n");
                write(out, copy + ok(id(request), "done"));
                return true;
            };
            first.requests.clear();
            send(REQUESTS);
            int expected = of.equals(self) ? 1 : 2;
            assertThat(Math.min(first.requests.size(), 2)).isEqualTo(expected);
        }
    }

    /** Guards against an address that is not used because an endpoint that left had it before. */
    @Test
    void usesNewEndpointAtAddressOfOneThatLeft() throws Exception {
        first.script = answeringWith(LEAVING);
        second.script = answeringWith(LEAVING);
        send(4);
        assertThat(call("/order/")).startsWith("HTTP/1.1 503");
        first.crash();
        first.restart("next");
        first.script = EndpointNoticesTest::echo;
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ForwardHarness.TIMEOUT_MS);
        while (call("/order/").startsWith("HTTP/1.1 503") && System.nanoTime() < end) {
            TimeUnit.MILLISECONDS.sleep(50);
        }
        assertThat(call("/order/")).startsWith("HTTP/1.1 200");
    }

    @Test
    void sendsNothingToEndpointDuringItsRetryAfter() throws Exception {
        first.script = refusingWith("Retry-After: 1.2\r\n");
        send(REQUESTS);
        long paused = System.nanoTime();
        first.script = EndpointNoticesTest::echo;
        assertThat(first.requests).hasSize(1);
        while (first.requests.size() == 1 && System.nanoTime() - paused < TimeUnit.SECONDS.toNanos(4)) {
            call("/order/");
        }
        long after = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - paused);
        assertThat(after).isAtLeast(1_000);
        assertThat(after).isLessThan(3_000);
    }

    /** Guards against several requests that are still sent after a refusal with a retry time. */
    @Test
    void routersUnderLoadSendAtMostTwoRequestsDuringRetryAfter() throws Exception {
        List<ForwardHarness.Router> routers = new ArrayList<>(List.of(router));
        for (int i = 2; i <= 4; i++) {
            routers.add(harness.startRouter("r" + i));
        }
        List<Long> arrivals = Collections.synchronizedList(new ArrayList<>());
        first.script = (request, out) -> {
            arrivals.add(System.nanoTime());
            write(out, "HTTP/1.1 503 No\r\nRagwortrun-Not-Run: 1\r\nRetry-After: 2\r\nContent-Length: 0\r\n\r\n");
            return true;
        };
        List<CompletableFuture<Void>> callers = new ArrayList<>();
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(1_800);
        for (int c = 0; c < 12; c++) {
            ForwardHarness.Router r = routers.get(c % routers.size());
            callers.add(CompletableFuture.runAsync(() -> {
                while (System.nanoTime() < end) {
                    unchecked(r, "/order/");
                }
            }));
        }
        callers.forEach(CompletableFuture::join);
        long begin = arrivals.get(0);
        long late = arrivals.stream()
                .filter(a -> a - begin > TimeUnit.MILLISECONDS.toNanos(1_000))
                .count();
        assertThat(late).isAtMost(2L * routers.size());
        assertThat(arrivals.size()).isLessThan(12 + routers.size());
    }

    @Test
    void refusesAtOnceWithRetryAfterWhenAllEndpointsSentOne() throws Exception {
        first.script = refusingWith("Retry-After: 2\r\n");
        second.script = refusingWith("Retry-After: 3\r\n");
        call("/order/");
        int sent = first.requests.size() + second.requests.size();
        long begin = System.nanoTime();
        String answer = call("/order/");
        assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - begin)).isLessThan(500);
        assertThat(answer).startsWith("HTTP/1.1 503");
        assertThat(answer).contains("\"run\":\"not run\"");
        assertThat(retryAfter(answer)).isAtLeast(1.5);
        assertThat(retryAfter(answer)).isAtMost(4.0);
        assertThat(first.requests.size() + second.requests.size()).isEqualTo(sent);
    }

    /** Guards against an endpoint that stays excluded because its probe request was refused. */
    @Test
    void probesEndpointAgainAfterRefusedProbe() throws Exception {
        String id = first.listed().getId();
        first.crash();
        call("/order/");
        first.restart(id);
        first.script = refusingWith("");
        TimeUnit.MILLISECONDS.sleep(500);
        call("/order/");
        assertThat(first.requests).hasSize(1);
        first.script = EndpointNoticesTest::echo;
        TimeUnit.MILLISECONDS.sleep(500);
        send(REQUESTS);
        assertThat(first.requests.size()).isGreaterThan(REQUESTS / 2);
    }

    /** Guards against a time that is counted again from the repeated copy of the refusal that named it. */
    @Test
    void ignoresRetryAfterInRepeatedRefusal() throws Exception {
        first.script = (request, out) -> {
            write(
                    out,
                    "HTTP/1.1 503 No\r\nRagwortrun-Not-Run: 1\r\nX-Request-Id: earlier\r\nRetry-After: 5\r\n"
                            + "Content-Length: 0\r\n\r\n" + ok(id(request), "done"));
            return true;
        };
        send(REQUESTS);
        assertThat(first.requests).hasSize(REQUESTS);
    }

    @Test
    void ignoresInvalidRetryAfter() throws Exception {
        for (String value : List.of("-3", "soon", "NaN", "")) {
            first.requests.clear();
            first.script = refusingWith("Retry-After: " + value + "\r\n");
            second.script = EndpointNoticesTest::echo;
            send(REQUESTS);
            assertThat(first.requests.size()).isGreaterThan(1);
        }
    }

    private static ScriptedEndpoint.Script refusingWith(String header) {
        return (request, out) -> {
            write(
                    out,
                    "HTTP/1.1 503 No\r\nRagwortrun-Not-Run: 1\r\nX-Request-Id: " + id(request) + "\r\n" + header
                            + "Content-Length: 0\r\n\r\n");
            return true;
        };
    }

    private static String withHeader(String answer, String header) {
        return answer.replaceFirst("\r\n", "\r\n" + header);
    }

    private void send(int requests) throws IOException {
        for (int i = 0; i < requests; i++) {
            call("/order/");
        }
    }

    private String call(String target) throws IOException {
        return call(router, target);
    }

    private String call(ForwardHarness.Router to, String target) throws IOException {
        return to.send("GET " + target + " HTTP/1.1\r\nHost: h\r\nX-Request-Id: q" + ids.incrementAndGet()
                + "\r\nAuthorization: Bearer secret\r\nConnection: close\r\n\r\n");
    }

    private String unchecked(String target) {
        return unchecked(router, target);
    }

    private String unchecked(ForwardHarness.Router to, String target) {
        try {
            return call(to, target);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static double retryAfter(String answer) {
        return Double.parseDouble(
                answer.toLowerCase(Locale.ROOT).split("retry-after: ", 2)[1].split("\r", 2)[0]);
    }

    private static String id(String request) {
        return request.split("X-Request-Id: ", 2)[1].split("\r", 2)[0];
    }
}
