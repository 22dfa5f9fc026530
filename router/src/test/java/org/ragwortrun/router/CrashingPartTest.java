package org.ragwortrun.router;

import static com.google.common.truth.Truth.assertThat;
import static org.ragwortrun.router.ScriptedEndpoint.ok;
import static org.ragwortrun.router.ScriptedEndpoint.write;

import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.ragwortrun.core.id.Digests;

/** Tests requests that have only a part of their prompt in common, which crashes each endpoint that answers them. */
final class CrashingPartTest {
    private static final String SHARED = "aa";
    private static final String SUBJECT = "bb";
    private static final String CRASHING = "cc";
    private static final String WAITING = "waiting";
    private static final int ENDPOINTS = 8;
    private static final int CRASHES_TO_LEARN = 5;
    private static final int MAX_SENT_AFTER = 3;
    private static final Duration TIME_TO_LEARN = Duration.ofSeconds(3);

    private final AtomicInteger ids = new AtomicInteger();
    private CrashingEndpoints endpoints;

    @BeforeEach
    void start() throws Exception {
        endpoints = new CrashingEndpoints(
                ENDPOINTS,
                request -> request.contains("," + CRASHING + ":") && !request.contains(WAITING),
                CrashingPartTest::answer);
    }

    private static boolean answer(String request, OutputStream out) throws IOException, InterruptedException {
        if (request.contains(WAITING)) {
            pause(Duration.ofSeconds(5));
        }
        write(out, ok(request.split("X-Request-Id: ", 2)[1].split("\r", 2)[0], "done"));
        return true;
    }

    @AfterEach
    void stop() {
        endpoints.close();
    }

    @Test
    void stopsSendingRequestsWithPartThatCrashedFiveEndpoints() throws Exception {
        for (int i = 0; i < 20 && endpoints.crashes() < CRASHES_TO_LEARN; i++) {
            post(i, SHARED, SUBJECT, CRASHING);
            pause(Duration.ofMillis(300));
        }
        pause(TIME_TO_LEARN);
        int before = endpoints.crashes();
        for (int i = 0; i < 10; i++) {
            post(i, SHARED, SUBJECT, CRASHING);
            pause(Duration.ofMillis(100));
        }
        assertThat(endpoints.crashes() - before).isAtMost(MAX_SENT_AFTER);
    }

    /** Guards against refusing harmless requests that share their caller and their other parts. */
    @Test
    void servesRequestsThatShareCallerAndOtherParts() throws Exception {
        crashUntilRefused();
        for (int i = 0; i < 10; i++) {
            assertThat(post(i, SHARED, SUBJECT)).startsWith("HTTP/1.1 200");
        }
        assertThat(post(0, SHARED, SUBJECT, CRASHING)).contains("part-quarantined");
        assertThat(post(0, SHARED, "dd", CRASHING)).contains("part-quarantined");
    }

    @Test
    void refusesAsNotRunWithRetryAfterAtAllRouters() throws Exception {
        crashUntilRefused();
        for (int i = 0; i < 2; i++) {
            String answer = awaitRefusal(i);
            assertThat(answer).startsWith("HTTP/1.1 503");
            assertThat(answer).contains("\"run\":\"not run\"");
            double retryAfterS = Double.parseDouble(
                    answer.toLowerCase(Locale.ROOT).split("retry-after: ", 2)[1].split("\r", 2)[0]);
            assertThat(retryAfterS).isGreaterThan(500.0);
        }
        assertThat(endpoints.crashes()).isAtMost(CRASHES_TO_LEARN);
    }

    /** Guards against a router that has just started and does not know what the fleet quarantines. */
    @Test
    void refusesAtRouterThatStartsLater() throws Exception {
        crashUntilRefused();
        endpoints.routers.add(endpoints.harness.startRouter("r3"));
        assertThat(post(2, SHARED, SUBJECT, CRASHING)).contains("part-quarantined");
    }

    /** Guards against a router that keeps crashing endpoints while no control member records its crash reports. */
    @Test
    void quarantinesLocallyWhileControlDoesNotAnswer() throws Exception {
        endpoints.harness.control.ignoresCrashReports = true;
        for (int i = 0; i < 8; i++) {
            post(0, SHARED, SUBJECT, CRASHING);
            pause(Duration.ofMillis(300));
        }
        assertThat(endpoints.crashes()).isAtMost(CRASHES_TO_LEARN);
        endpoints.harness.control.ignoresCrashReports = false;
        assertThat(awaitRefusal(1)).contains("part-quarantined");
    }

    /** Guards against an endpoint that crashes on a request that was sent just before its part was quarantined. */
    @Test
    void stopsRequestThatWaitsForItsAnswerWhenItsPartIsQuarantined() throws Exception {
        CompletableFuture<String> waiting = CompletableFuture.supplyAsync(() -> {
            try {
                return post(0, WAITING, CRASHING);
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        });
        pause(Duration.ofMillis(100));
        endpoints.harness.control.quarantinePart(Digests.promptPart("o", CRASHING));
        String answer = waiting.get();
        assertThat(answer).startsWith("HTTP/1.1 502");
        assertThat(answer).contains("part-quarantined");
    }

    private void crashUntilRefused() throws Exception {
        String answer = "";
        for (int i = 0; i < 20 && !answer.contains("part-quarantined"); i++) {
            answer = post(i, SHARED, SUBJECT, CRASHING);
            pause(Duration.ofMillis(300));
        }
    }

    private String awaitRefusal(int router) throws Exception {
        String answer = post(router, SHARED, SUBJECT, CRASHING);
        for (int i = 0; i < 30 && !answer.contains("part-quarantined"); i++) {
            pause(Duration.ofMillis(100));
            answer = post(router, SHARED, SUBJECT, CRASHING);
        }
        return answer;
    }

    private String post(int turn, String... sharedParts) throws IOException {
        int id = ids.incrementAndGet();
        String body = "body-" + id;
        StringBuilder parts = new StringBuilder();
        for (String part : sharedParts) {
            parts.append(part).append(":100,");
        }
        return endpoints
                .router(turn)
                .send("POST /order/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: q" + id
                        + "\r\nAuthorization: Bearer secret\r\nConnection: close\r\nRagwortrun-Prompt-Parts: " + parts
                        + id + ":10\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
    }

    private static void pause(Duration length) throws InterruptedException {
        TimeUnit.MILLISECONDS.sleep(length.toMillis());
    }
}
