package org.ragwortrun.router;

import static com.google.common.truth.Truth.assertThat;
import static org.ragwortrun.router.ScriptedEndpoint.ok;
import static org.ragwortrun.router.ScriptedEndpoint.write;

import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.ragwortrun.core.id.Digests;

/** Tests what a forwarding router answers while no control member confirms its configuration. */
final class UnconfirmedConfigurationTest {
    // Above the 2 s within which a change comes into force everywhere.
    private static final long UNCONFIRMED_MS = 2_300;
    private static final long POLL_MS = 20;
    // Below the longest wait for a confirmation.
    private static final long LONGEST_ANSWER_MS = 400;
    private static final String REQUEST_ID = "q1";

    private final AtomicInteger executions = new AtomicInteger();
    private ForwardHarness harness;
    private FakeControl control;
    private ForwardHarness.Router router;

    @BeforeEach
    void start() throws Exception {
        harness = new ForwardHarness();
        control = harness.control;
        harness.addEndpoint("e1", (request, out) -> {
            executions.incrementAndGet();
            write(out, ok(REQUEST_ID, "done"));
            return true;
        });
        router = harness.startRouter("r1");
    }

    @AfterEach
    void stop() {
        harness.close();
    }

    /** Guards against a 404 for a route that was added while the router heard nothing of the control members. */
    @Test
    void doesNotDenyRouteWhileUnconfirmed() throws Exception {
        control.silent = true;
        harness.addRoute("new", "/new/", "idempotent", "no");
        control.publish();
        TimeUnit.MILLISECONDS.sleep(UNCONFIRMED_MS);
        String answer = get("/new/x", "secret").toLowerCase(Locale.ROOT);
        assertThat(answer).startsWith("http/1.1 503");
        assertThat(answer).contains("\"run\":\"not run\"");
        assertThat(answer).contains("retry-after: ");
        control.silent = false;
        assertThat(getUntilNot("503", "/new/x", "secret")).startsWith("HTTP/1.1 200");
    }

    /** Guards against a 401 for a key that was added while the router heard nothing of the control members. */
    @Test
    void doesNotDenyKeyWhileUnconfirmed() throws Exception {
        control.silent = true;
        TimeUnit.MILLISECONDS.sleep(UNCONFIRMED_MS);
        assertThat(get("/read/x", "added")).startsWith("HTTP/1.1 503");
        control.silent = false;
        assertThat(getUntilNot("503", "/read/x", "added")).startsWith("HTTP/1.1 401");
    }

    /** Guards against a 404 by a router that was told of a newer configuration and has not received it. */
    @Test
    void doesNotDenyRouteWhileNewerConfigurationIsKnown() throws Exception {
        // No confirmation becomes too old in this test.
        router = harness.startRouter("r2", Map.of("control.denial-age", "60s"));
        assertThat(getUntilNot("503", "/new/x", "secret")).startsWith("HTTP/1.1 404");
        control.ignoresWatches = true;
        control.publish();
        assertThat(getUntilNot("404", "/new/x", "secret")).startsWith("HTTP/1.1 503");
    }

    /** Guards against a 403 while the owner of a budget has not applied a change that this router knows. */
    @Test
    void doesNotDenyBudgetThatItsOwnerDoesNotKnowYet() throws Exception {
        control.putSection("account", "late", Map.of("keys", Digests.apiKey("added"), "metered", "yes"));
        control.publish();
        String metered = "added\r\nRagwortrun-Usage: 10,10";
        assertThat(getUntilNot("401", "/read/x", metered)).startsWith("HTTP/1.1 503");
    }

    /** Guards against outages: what the last known configuration allows is still served. */
    @Test
    void servesKnownRoutesWhileUnconfirmed() throws Exception {
        control.silent = true;
        TimeUnit.MILLISECONDS.sleep(UNCONFIRMED_MS);
        assertThat(get("/read/x", "secret")).startsWith("HTTP/1.1 200");
    }

    /** Guards against callers of a host that is cut off who wait for a confirmation that cannot come. */
    @Test
    void servesKnownRoutesWithoutWaitWhileCutOff() throws Exception {
        control.silent = true;
        TimeUnit.MILLISECONDS.sleep(UNCONFIRMED_MS);
        long start = System.nanoTime();
        assertThat(get("/read/x", "secret")).startsWith("HTTP/1.1 200");
        assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start)).isLessThan(LONGEST_ANSWER_MS);
    }

    /** Guards against a request that is sent to an endpoint though its time limit passed while it waited. */
    @Test
    void sendsNoRequestWhoseTimeLimitHasPassed() throws Exception {
        assertThat(get("/read/x", "secret\r\nRagwortrun-Deadline-Ms: 0")).startsWith("HTTP/1.1 503");
        assertThat(executions.get()).isEqualTo(0);
    }

    private String getUntilNot(String status, String path, String key) throws Exception {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ForwardHarness.TIMEOUT_MS);
        String answer = get(path, key);
        while (answer.startsWith("HTTP/1.1 " + status) && System.nanoTime() < end) {
            TimeUnit.MILLISECONDS.sleep(POLL_MS);
            answer = get(path, key);
        }
        return answer;
    }

    private String get(String path, String key) throws Exception {
        return router.send("GET " + path + " HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + REQUEST_ID
                + "\r\nAuthorization: Bearer " + key
                + "\r\nConnection: close\r\n\r\n");
    }
}
