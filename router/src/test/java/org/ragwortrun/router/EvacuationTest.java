package org.ragwortrun.router;

import static com.google.common.truth.Truth.assertThat;
import static org.ragwortrun.router.ScriptedEndpoint.chunk;
import static org.ragwortrun.router.ScriptedEndpoint.ok;
import static org.ragwortrun.router.ScriptedEndpoint.streamHead;
import static org.ragwortrun.router.ScriptedEndpoint.write;

import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.ragwortrun.core.id.Digests;

/** Tests that routers send nothing to data centers that operators evacuate, or outside the regions of a request. */
final class EvacuationTest {
    private static final int REQUESTS = 12;
    // Endpoints in the router's data center are preferred, so this one gets the first attempt.
    private static final Map<String, String> IN_NEAR = Map.of("daemon.data-center", "near");

    private final AtomicInteger ids = new AtomicInteger();
    private ForwardHarness harness;
    private ScriptedEndpoint near;
    private ScriptedEndpoint far;

    @BeforeEach
    void start() throws Exception {
        harness = new ForwardHarness();
        near = harness.addEndpoint("e1", EvacuationTest::echo);
        near.dataCenter = "near";
        far = harness.addEndpoint("e2", EvacuationTest::echo);
        far.dataCenter = "far";
    }

    @AfterEach
    void stop() {
        harness.close();
    }

    private static boolean echo(String request, OutputStream out) throws IOException {
        write(out, ok(id(request), "done"));
        return true;
    }

    @Test
    void sendsNothingToEvacuatedDataCenterUntilItsEnd() throws Exception {
        ForwardHarness.Router router = harness.startRouter("r1", IN_NEAR);
        send(router);
        assertThat(near.requests).isNotEmpty();
        harness.control.evacuate("near", true);
        near.requests.clear();
        send(router);
        assertThat(near.requests).isEmpty();
        harness.control.evacuate("near", false);
        send(router);
        assertThat(near.requests).isNotEmpty();
    }

    /** Guards against a stream that is aborted because its data center is evacuated. */
    @Test
    void runningRequestFinishes() throws Exception {
        CountDownLatch begun = new CountDownLatch(1);
        CountDownLatch evacuated = new CountDownLatch(1);
        near.script = (request, out) -> {
            write(out, streamHead(id(request)) + chunk("id: 1\ndata: a\n\n"));
            begun.countDown();
            evacuated.await(5, TimeUnit.SECONDS);
            write(out, chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n");
            return true;
        };
        ForwardHarness.Router router = harness.startRouter("r1", IN_NEAR);
        CompletableFuture<String> answer = CompletableFuture.supplyAsync(() -> unchecked(router, "/draft/"));
        assertThat(begun.await(5, TimeUnit.SECONDS)).isTrue();
        harness.control.evacuate("near", true);
        evacuated.countDown();
        assertThat(answer.get()).contains("data: b");
        assertThat(answer.get()).endsWith("0\r\n\r\n");
        assertThat(far.requests).isEmpty();
    }

    /** Guards against a retry at an endpoint whose data center was evacuated after the first attempt was sent. */
    @Test
    void retryDoesNotReachEvacuatedDataCenter() throws Exception {
        near.script = (request, out) -> {
            harness.control.evacuate("far", true);
            return false;
        };
        ForwardHarness.Router router = harness.startRouter("r1", IN_NEAR);
        assertThat(call(router, "/read/")).startsWith("HTTP/1.1 502");
        assertThat(near.requests).hasSize(1);
        assertThat(far.requests).isEmpty();
    }

    /** Guards against a retry of a request that has not run, which would be sent to the evacuated data center. */
    @Test
    void retryOfRefusedOrderDoesNotReachEvacuatedDataCenter() throws Exception {
        near.script = (request, out) -> {
            harness.control.evacuate("far", true);
            write(out, "HTTP/1.1 503 No\r\nRagwortrun-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
            return true;
        };
        ForwardHarness.Router router = harness.startRouter("r1", IN_NEAR);
        assertNotRun(call(router, "/order/"));
        assertThat(far.requests).isEmpty();
    }

    /** Guards against a stream that is resumed at an endpoint of the evacuated data center. */
    @Test
    void streamIsNotResumedInEvacuatedDataCenter() throws Exception {
        near.script = (request, out) -> {
            write(out, streamHead(id(request)) + chunk("id: 1\ndata: a\n\n"));
            harness.control.evacuate("far", true);
            return false;
        };
        ForwardHarness.Router router = harness.startRouter("r1", IN_NEAR);
        String answer = call(router, "/guide/");
        assertThat(answer).contains("data: a");
        assertThat(answer).doesNotContain("0\r\n\r\n");
        assertThat(far.requests).isEmpty();
    }

    /** Guards against a request that waits for its connection while the other data center is evacuated. */
    @Test
    void requestWhoseConnectionFailsDoesNotReachEvacuatedDataCenter() throws Exception {
        ForwardHarness.Router router = harness.startRouter("r1", IN_NEAR);
        near.crash();
        harness.control.evacuate("far", true);
        assertNotRun(call(router, "/order/"));
        assertThat(far.requests).isEmpty();
    }

    /** Guards against an answer that leaves callers in doubt whether a request has run, or when to come back. */
    @Test
    void refusesAsNotRunWhileAllDataCentersAreEvacuated() throws Exception {
        ForwardHarness.Router router = harness.startRouter("r1", IN_NEAR);
        harness.control.evacuate("near", true);
        harness.control.evacuate("far", true);
        assertNoEndpoint(call(router, "/order/"));
        assertNoEndpoint(call(router, "/guide/"));
        harness.control.evacuate("near", false);
        assertThat(call(router, "/order/")).startsWith("HTTP/1.1 200");
        assertThat(far.requests).isEmpty();
    }

    /** Guards against a router that starts without the evacuation that its predecessor followed. */
    @Test
    void startingRouterFollowsEvacuation() throws Exception {
        harness.control.orderEvacuation("near", true);
        ForwardHarness.Router router = harness.startRouter("r1", IN_NEAR);
        send(router);
        assertThat(near.requests).isEmpty();
        assertThat(far.requests).hasSize(REQUESTS);
    }

    /** Guards against a router that never learns of an evacuation whose update was lost. */
    @Test
    void routerThatIsBehindFollowsEvacuation() throws Exception {
        ForwardHarness.Router router = harness.startRouter("r1", IN_NEAR);
        harness.control.silent = true;
        harness.control.orderEvacuation("near", true);
        TimeUnit.MILLISECONDS.sleep(1_200);
        harness.control.silent = false;
        harness.control.awaitConfirmation();
        send(router);
        assertThat(near.requests).isEmpty();
    }

    /** Guards against a restriction of the route or of the account that the other one lifts. */
    @Test
    void regionsOfRouteAndAccountBothBind() throws Exception {
        addRestrictedRoute("south", "north,south");
        addRestrictedRoute("north", "north");
        harness.control.putSection(
                "account", "c", Map.of("keys", Digests.apiKey("secret"), "metered", "yes", "regions", "south,west"));
        ForwardHarness.Router router = harness.startRouter(
                "r1", Map.of("daemon.data-center", "near", "regions.data-centers", "near=north,far=south"));
        assertThat(call(router, "/south/")).startsWith("HTTP/1.1 200");
        assertThat(call(router, "/order/")).startsWith("HTTP/1.1 200");
        assertThat(far.requests).hasSize(2);
        assertNoEndpoint(call(router, "/north/"));
        harness.control.evacuate("far", true);
        assertNoEndpoint(call(router, "/south/"));
        assertThat(near.requests).isEmpty();
    }

    /** Guards against a request that leaves its regions because the region of an endpoint is unknown. */
    @Test
    void endpointOfUnknownRegionIsNotUsedForRestrictedRequest() throws Exception {
        addRestrictedRoute("north", "north");
        ForwardHarness.Router router = harness.startRouter("r1", Map.of("daemon.data-center", "near"));
        assertNoEndpoint(call(router, "/north/"));
        assertThat(call(router, "/order/")).startsWith("HTTP/1.1 200");
    }

    private void addRestrictedRoute(String name, String regions) {
        harness.control.putSection(
                "forward",
                name,
                Map.of("host", "h", "path", "/" + name + "/", "kind", "idempotent", "to", "o", "regions", regions));
    }

    private void assertNoEndpoint(String answer) {
        assertNotRun(answer);
        assertThat(answer).contains("no-endpoint");
    }

    private static void assertNotRun(String answer) {
        assertThat(answer).startsWith("HTTP/1.1 503");
        assertThat(answer).contains("\"run\":\"not run\"");
        assertThat(answer.toLowerCase(Locale.ROOT)).contains("retry-after: ");
    }

    private void send(ForwardHarness.Router router) throws IOException {
        for (int i = 0; i < REQUESTS; i++) {
            assertThat(call(router, "/order/")).startsWith("HTTP/1.1 200");
        }
    }

    private String call(ForwardHarness.Router router, String target) throws IOException {
        return router.send("GET " + target + " HTTP/1.1\r\nHost: h\r\nX-Request-Id: q" + ids.incrementAndGet()
                + "\r\nAuthorization: Bearer secret\r\nConnection: close\r\n\r\n");
    }

    private String unchecked(ForwardHarness.Router router, String target) {
        try {
            return call(router, target);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static String id(String request) {
        return request.split("X-Request-Id: ", 2)[1].split("\r", 2)[0];
    }
}
