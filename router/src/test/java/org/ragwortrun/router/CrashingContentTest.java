package org.ragwortrun.router;

import static com.google.common.truth.Truth.assertThat;
import static org.ragwortrun.router.ScriptedEndpoint.ok;
import static org.ragwortrun.router.ScriptedEndpoint.write;

import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.ragwortrun.proto.EvidenceRow;

/** Tests requests that crash each endpoint that runs them and are sent repeatedly through two routers. */
final class CrashingContentTest {
    private static final String CRASHING = "crashing";
    private static final String LOST = "lost";
    private static final String SLOW = "slow-";
    private static final int ENDPOINTS = 6;
    private static final int CRASHES_TO_LEARN = 3;
    private static final int MAX_CRASHES_AFTER = 3;
    private static final Duration TIME_TO_LEARN = Duration.ofSeconds(3);

    private final AtomicInteger lost = new AtomicInteger();
    private final AtomicInteger ids = new AtomicInteger();
    private CrashingEndpoints endpoints;

    @BeforeEach
    void start() throws Exception {
        endpoints = new CrashingEndpoints(ENDPOINTS, request -> request.endsWith(CRASHING), this::answer);
    }

    @AfterEach
    void stop() {
        endpoints.close();
    }

    private boolean answer(String request, OutputStream out) throws IOException, InterruptedException {
        if (request.contains(SLOW)) {
            pause(Duration.ofSeconds(1));
        }
        if (request.endsWith(LOST)) {
            lost.incrementAndGet();
            return false;
        }
        write(out, ok(request.split("X-Request-Id: ", 2)[1].split("\r", 2)[0], "done"));
        return true;
    }

    @Test
    void stopsSendingContentThatCrashedThreeEndpoints() throws Exception {
        for (int i = 0; i < 12 && endpoints.crashes() < CRASHES_TO_LEARN; i++) {
            post(i, "/order/x", CRASHING);
            pause(Duration.ofMillis(300));
        }
        pause(TIME_TO_LEARN);
        int before = endpoints.crashes();
        for (int i = 0; i < 10; i++) {
            post(i, "/order/x", CRASHING);
            pause(Duration.ofMillis(100));
        }
        assertThat(endpoints.crashes() - before).isAtMost(MAX_CRASHES_AFTER);
    }

    @Test
    void refusesQuarantinedContentAsNotRunWithRetryAfter() throws Exception {
        crashTwice();
        awaitRefusal(0);
        String answer = awaitRefusal(1);
        assertThat(answer).startsWith("HTTP/1.1 503");
        assertThat(answer).contains("\"run\":\"not run\"");
        assertThat(answer).contains("content-quarantined");
        double retryAfterS = Double.parseDouble(
                answer.toLowerCase(Locale.ROOT).split("retry-after: ", 2)[1].split("\r", 2)[0]);
        assertThat(retryAfterS).isGreaterThan(500.0);
        assertThat(endpoints.crashes()).isAtMost(CRASHES_TO_LEARN);
    }

    /** Guards against a router that keeps crashing endpoints while no control member records its crash reports. */
    @Test
    void quarantinesContentLocallyWhileControlDoesNotAnswer() throws Exception {
        endpoints.harness.control.ignoresCrashReports = true;
        for (int i = 0; i < 4; i++) {
            post(0, "/order/x", CRASHING);
            pause(Duration.ofMillis(300));
        }
        assertThat(endpoints.crashes()).isEqualTo(2);
        endpoints.harness.control.ignoresCrashReports = false;
        assertThat(awaitRefusal(1)).contains("content-quarantined");
    }

    /** Guards against the refusal of content whose answers are lost although its endpoints have not crashed. */
    @Test
    void keepsSendingContentWhoseAnswersAreLost() throws Exception {
        for (int i = 0; i < 8; i++) {
            assertThat(post(i, "/order/x", LOST)).startsWith("HTTP/1.1 502");
            pause(Duration.ofMillis(50));
        }
        assertThat(lost.get()).isEqualTo(8);
    }

    /** Guards against a version that is rolled back because one crash interrupted many of its requests. */
    @Test
    void countsCrashOnceAgainstVersion() throws Exception {
        List<CompletableFuture<String>> neighbours = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            String body = SLOW + i;
            neighbours.add(CompletableFuture.supplyAsync(() -> unchecked(body)));
        }
        pause(Duration.ofMillis(300));
        post(0, "/order/x", CRASHING);
        int failed = 0;
        for (CompletableFuture<String> n : neighbours) {
            failed += n.get().startsWith("HTTP/1.1 502") ? 1 : 0;
        }
        assertThat(failed).isAtLeast(1);
        pause(Duration.ofMillis(1_500));
        long counted = endpoints.harness.control.evidence.stream()
                .mapToLong(EvidenceRow::getFailures)
                .sum();
        assertThat(counted).isEqualTo(1);
    }

    private String unchecked(String body) {
        try {
            return post(0, "/order/x", body);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Guards against a retry within one client request that crashes another endpoint although the content is known to
     * crash endpoints, and against reporting such a request as not run after its first attempt ran.
     */
    @Test
    void doesNotReportNotRunWhenContentIsQuarantinedBeforeRetry() throws Exception {
        post(0, "/order/x", CRASHING);
        pause(Duration.ofMillis(300));
        String answer = post(0, "/read/x", CRASHING);
        assertThat(answer).startsWith("HTTP/1.1 502");
        assertThat(answer).doesNotContain("not run");
    }

    private void crashTwice() throws Exception {
        for (int i = 0; i < 2; i++) {
            post(i, "/order/x", CRASHING);
            pause(Duration.ofMillis(300));
        }
        assertThat(endpoints.crashes()).isEqualTo(2);
    }

    /** Sends the content until a router refuses it, and returns the refusal. */
    private String awaitRefusal(int router) throws Exception {
        String answer = post(router, "/order/x", CRASHING);
        for (int i = 0; i < 30 && !answer.contains("content-quarantined"); i++) {
            pause(Duration.ofMillis(100));
            answer = post(router, "/order/x", CRASHING);
        }
        return answer;
    }

    private String post(int turn, String target, String body) throws IOException {
        return endpoints
                .router(turn)
                .send("POST " + target + " HTTP/1.1\r\nHost: h\r\nX-Request-Id: q" + ids.incrementAndGet()
                        + "\r\nAuthorization: Bearer secret\r\nConnection: close\r\nContent-Length: " + body.length()
                        + "\r\n\r\n" + body);
    }

    private static void pause(Duration length) throws InterruptedException {
        TimeUnit.MILLISECONDS.sleep(length.toMillis());
    }
}
