package org.ragwortrun.router;

import static com.google.common.truth.Truth.assertThat;
import static org.ragwortrun.router.ScriptedEndpoint.ok;
import static org.ragwortrun.router.ScriptedEndpoint.write;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests endpoints of a service that names what they tolerate after a start, over real connections. */
final class EndpointWarmUpTest {
    private static final int ROUTERS = 5;
    private static final int CALLERS = 10;
    private static final long CALL_INTERVAL_MS = 20;
    private static final double PER_SECOND = 4;
    // What operators tolerate in any second: 1.5 times the rate and 5 requests.
    private static final int MOST_IN_SECOND = (int) (1.5 * PER_SECOND + 5);
    private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);
    // A list that was read 1.5 s after the start shows that the endpoint is not cold.
    private static final long COLD_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

    private final AtomicInteger ids = new AtomicInteger();
    private final List<ForwardHarness.Router> routers = new ArrayList<>();
    private final List<Long> arrivals = new CopyOnWriteArrayList<>();
    private ForwardHarness harness;

    @BeforeEach
    void start() throws Exception {
        harness = new ForwardHarness();
        harness.control.putSection(
                "origin",
                "o",
                Map.of("tokens-per-event", "2", "warm-up", "3s", "warm-up-rate", Double.toString(PER_SECOND)));
    }

    @AfterEach
    void stop() {
        harness.close();
    }

    /**
     * Guards against routers that each send their share to the only endpoint after it has restarted, that let it idle, or
     * that never send their share again.
     */
    @ParameterizedTest
    @ValueSource(strings = {"no", "yes"})
    void restartedEndpointGetsWarmUpRateAndThenItsShare(String scheduling) throws Exception {
        ScriptedEndpoint endpoint = addRecorder("e1");
        startRouters(scheduling);
        CompletableFuture<List<String>> answers = callFor(13_000);
        TimeUnit.SECONDS.sleep(3);
        int before = arrivals.size();
        endpoint.crash();
        TimeUnit.MILLISECONDS.sleep(700);
        arrivals.clear();
        long restarted = System.nanoTime();
        endpoint.restart("e1");
        List<String> all = answers.get();
        assertThat(before).isAtLeast(3 * MOST_IN_SECOND);
        assertThat(mostInSecond(restarted, restarted + COLD_NANOS)).isAtMost(MOST_IN_SECOND);
        assertThat(mostInSecond(restarted, restarted + 2 * SECOND_NANOS)).isAtLeast(2);
        assertThat(mostInSecond(restarted + 6 * SECOND_NANOS, Long.MAX_VALUE)).isAtLeast(2 * MOST_IN_SECOND);
        List<String> refused =
                all.stream().filter(a -> a.startsWith("HTTP/1.1 503")).toList();
        assertThat(refused).isNotEmpty();
        assertThat(refused.stream()
                        .filter(a -> !a.contains("\"run\":\"not run\"")
                                || !a.toLowerCase(Locale.ROOT).contains("retry-after: ")))
                .isEmpty();
    }

    /** Guards against an endpoint that is listed for the first time and gets its whole share at once. */
    @Test
    void newEndpointGetsWarmUpRate() throws Exception {
        harness.addEndpoint("e2", (request, out) -> {
            TimeUnit.MILLISECONDS.sleep(50);
            write(out, ok(id(request), "done"));
            return true;
        });
        startRouters("no");
        CompletableFuture<List<String>> answers = callFor(12_000);
        TimeUnit.SECONDS.sleep(2);
        addRecorder("e1");
        long listed = System.nanoTime();
        harness.sendRouterList();
        List<String> all = answers.get();
        assertThat(mostInSecond(listed, listed + COLD_NANOS)).isAtMost(MOST_IN_SECOND);
        assertThat(mostInSecond(listed + 6 * SECOND_NANOS, Long.MAX_VALUE)).isAtLeast(2 * MOST_IN_SECOND);
        assertThat(all.stream().filter(a -> !a.startsWith("HTTP/1.1 200"))).isEmpty();
    }

    private ScriptedEndpoint addRecorder(String id) throws IOException {
        return harness.addEndpoint(id, (request, out) -> {
            arrivals.add(System.nanoTime());
            write(out, ok(id(request), "done"));
            return true;
        });
    }

    private void startRouters(String scheduling) throws Exception {
        for (int i = 0; i < ROUTERS; i++) {
            routers.add(harness.startRouter("r" + i, Map.of("scheduling.enabled", scheduling)));
        }
        harness.sendRouterList();
    }

    /** Calls all routers for a time and returns the answers. */
    private CompletableFuture<List<String>> callFor(long millis) {
        List<String> answers = new CopyOnWriteArrayList<>();
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        List<CompletableFuture<Void>> callers = new ArrayList<>();
        for (int c = 0; c < CALLERS; c++) {
            ForwardHarness.Router r = routers.get(c % ROUTERS);
            callers.add(CompletableFuture.runAsync(
                    () -> {
                        while (System.nanoTime() < end) {
                            answers.add(call(r));
                        }
                    },
                    t -> new Thread(t, "caller").start()));
        }
        return CompletableFuture.allOf(callers.toArray(CompletableFuture[]::new))
                .thenApply(done -> answers);
    }

    private String call(ForwardHarness.Router to) {
        try {
            String answer = to.send("GET /read/ HTTP/1.1\r\nHost: h\r\nX-Request-Id: q" + ids.incrementAndGet()
                    + "\r\nAuthorization: Bearer secret\r\nConnection: close\r\n\r\n");
            TimeUnit.MILLISECONDS.sleep(CALL_INTERVAL_MS);
            return answer;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return "";
        }
    }

    /** Returns the most requests in any second of an interval. */
    private int mostInSecond(long from, long until) {
        List<Long> in = arrivals.stream()
                .filter(a -> a - from >= 0 && until - a > 0)
                .sorted()
                .toList();
        int most = 0;
        int begin = 0;
        for (int i = 0; i < in.size(); i++) {
            while (in.get(i) - in.get(begin) >= SECOND_NANOS) {
                begin++;
            }
            most = Math.max(most, i - begin + 1);
        }
        return most;
    }

    private static String id(String request) {
        return request.split("X-Request-Id: ", 2)[1].split("\r", 2)[0];
    }
}
