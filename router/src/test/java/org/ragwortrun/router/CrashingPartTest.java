package org.ragwortrun.router;

import static com.google.common.truth.Truth.assertThat;
import static org.ragwortrun.router.ScriptedEndpoint.ok;
import static org.ragwortrun.router.ScriptedEndpoint.write;

import java.io.IOException;
import java.io.OutputStream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests requests that have only a part of their prompt in common, which crashes each endpoint that answers them. */
final class CrashingPartTest {
    private static final String SHARED = "aa";
    private static final String SUBJECT = "bb";
    private static final String CRASHING = "cc";
    private static final int ENDPOINTS = 8;
    private static final int CRASHES_TO_LEARN = 5;
    private static final int MAX_SENT_AFTER = 3;
    private static final Duration TIME_TO_LEARN = Duration.ofSeconds(3);
    private static final Duration DOWN = Duration.ofSeconds(1);

    private final ScheduledExecutorService restarts = Executors.newSingleThreadScheduledExecutor();
    private final AtomicInteger crashes = new AtomicInteger();
    private final AtomicInteger ids = new AtomicInteger();
    private final List<ForwardHarness.Router> routers = new ArrayList<>();
    private ForwardHarness harness;

    @BeforeEach
    void start() throws Exception {
        harness = new ForwardHarness();
        for (int i = 0; i < ENDPOINTS; i++) {
            addEndpoint("e" + i);
        }
        routers.add(harness.startRouter("r1"));
        routers.add(harness.startRouter("r2"));
    }

    @AfterEach
    void stop() {
        harness.close();
        restarts.shutdownNow();
    }

    private void addEndpoint(String id) throws IOException {
        ScriptedEndpoint[] self = new ScriptedEndpoint[1];
        self[0] = harness.addEndpoint(id, (request, out) -> answer(self[0], id, request, out));
    }

    private boolean answer(ScriptedEndpoint endpoint, String id, String request, OutputStream out)
            throws IOException, InterruptedException {
        if (!request.contains("," + CRASHING + ":")) {
            write(out, ok(request.split("X-Request-Id: ", 2)[1].split("\r", 2)[0], "done"));
            return true;
        }
        String nextId = id + "-" + crashes.incrementAndGet();
        endpoint.crash();
        restarts.schedule(
                () -> {
                    endpoint.restart(nextId);
                    return null;
                },
                DOWN.toMillis(),
                TimeUnit.MILLISECONDS);
        return false;
    }

    @Test
    void stopsSendingRequestsWithPartThatCrashedFiveEndpoints() throws Exception {
        for (int i = 0; i < 20 && crashes.get() < CRASHES_TO_LEARN; i++) {
            post(i, SHARED, SUBJECT, CRASHING);
            pause(Duration.ofMillis(300));
        }
        pause(TIME_TO_LEARN);
        int before = crashes.get();
        for (int i = 0; i < 10; i++) {
            post(i, SHARED, SUBJECT, CRASHING);
            pause(Duration.ofMillis(100));
        }
        assertThat(crashes.get() - before).isAtMost(MAX_SENT_AFTER);
    }

    private String post(int turn, String... sharedParts) throws IOException {
        int id = ids.incrementAndGet();
        String body = "body-" + id;
        StringBuilder parts = new StringBuilder();
        for (String part : sharedParts) {
            parts.append(part).append(":100,");
        }
        return routers.get(turn % routers.size())
                .send("POST /order/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: q" + id
                        + "\r\nAuthorization: Bearer secret\r\nConnection: close\r\nRagwortrun-Prompt-Parts: " + parts
                        + id + ":10\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
    }

    private static void pause(Duration length) throws InterruptedException {
        TimeUnit.MILLISECONDS.sleep(length.toMillis());
    }
}
