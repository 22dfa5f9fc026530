package org.ragwortrun.router;

import static com.google.common.truth.Truth.assertThat;
import static org.ragwortrun.router.ScriptedEndpoint.ok;
import static org.ragwortrun.router.ScriptedEndpoint.write;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.ragwortrun.net.FrameClient;
import org.ragwortrun.net.Transport;
import org.ragwortrun.proto.Frame;
import org.ragwortrun.proto.Header;
import org.ragwortrun.proto.Hello;
import org.ragwortrun.proto.Role;
import org.ragwortrun.proto.RouteCandidate;
import org.ragwortrun.proto.RouteExplanation;
import org.ragwortrun.proto.RouteQuery;

/** Tests routers that place requests by learned speeds over real connections with scripted endpoints. */
final class LearnedPlacementDaemonTest {
    private static final Map<String, String> ENABLED = Map.of("scheduling.enabled", "yes");
    private static final long SLOW_MS = 120;
    private static final int REQUESTS = 60;

    private final List<AutoCloseable> closed = new ArrayList<>();
    private ForwardHarness harness;
    private ScriptedEndpoint slow;
    private ScriptedEndpoint fast;

    @BeforeEach
    void start() throws Exception {
        harness = new ForwardHarness();
        slow = harness.addEndpoint("slow", (request, out) -> {
            try {
                TimeUnit.MILLISECONDS.sleep(SLOW_MS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            return echo(request, out);
        });
        fast = harness.addEndpoint("fast", LearnedPlacementDaemonTest::echo);
    }

    @AfterEach
    void stop() throws Exception {
        for (AutoCloseable c : closed) {
            c.close();
        }
        harness.close();
    }

    /** One endpoint takes many times as long as the other: both get the same number of requests. */
    @Test
    void sendsMostRequestsToFastEndpoint() throws Exception {
        ForwardHarness.Router router = harness.startRouter("r1", ENABLED);
        send(router);
        assertThat(slow.requests.size() + fast.requests.size()).isEqualTo(REQUESTS);
        assertThat(slow.requests.size()).isLessThan(REQUESTS / 4);
    }

    /** One endpoint rejects all requests at once: each request is tried there first and costs a retry. */
    @Test
    void sparesEndpointThatRejects() throws Exception {
        slow.script = (request, out) -> {
            write(out, "HTTP/1.1 503 No\r\nRagwortrun-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
            return true;
        };
        ForwardHarness.Router router = harness.startRouter("r1", ENABLED);
        // Retries of the first requests must not exhaust the allowance for retries.
        int rejected = 0;
        for (int i = 0; i < 6; i++) {
            rejected += send(router, i).startsWith("HTTP/1.1 200") ? 0 : 1;
        }
        int before = slow.requests.size();
        for (int i = 6; i < REQUESTS; i++) {
            rejected += send(router, i).startsWith("HTTP/1.1 200") ? 0 : 1;
        }
        assertThat(slow.requests.size() - before).isLessThan(REQUESTS / 6);
        assertThat(rejected).isAtMost(2);
    }

    /** A router that has received no request does not know which endpoint is slow, although another one does. */
    @Test
    void quietRouterLearnsFromHub() throws Exception {
        ForwardHarness.Router first = harness.startRouter("r1", ENABLED);
        ForwardHarness.Router second = harness.startRouter("r2", ENABLED);
        harness.sendRouterList();
        send(first);
        boolean known = false;
        for (int i = 0; i < 100 && !known; i++) {
            TimeUnit.MILLISECONDS.sleep(100);
            RouteExplanation e = explain(second, "/read/");
            known = cost(e, "slow") > 1.3 * cost(e, "fast");
        }
        assertThat(known).isTrue();
    }

    /** An explanation names what a request would meet, and sends nothing. */
    @Test
    void explainsRouteWithoutEffect() throws Exception {
        ForwardHarness.Router router = harness.startRouter("r1", ENABLED);
        RouteExplanation e = explain(router, "/read/x?q=1");
        assertThat(e.getRoute()).isEqualTo("read");
        assertThat(e.getOrigin()).isEqualTo("o");
        assertThat(e.getAccount()).isEqualTo("c");
        assertThat(e.getRefusal()).isEmpty();
        assertThat(e.getEndpoint()).isAnyOf("slow", "fast");
        assertThat(e.getCandidatesList().stream().map(RouteCandidate::getEndpoint))
                .containsExactly("slow", "fast");
        assertThat(explain(router, "/none/").getRefusal()).isEqualTo("unknown-route");
        assertThat(explain(router, "no path").getRefusal()).isEqualTo("malformed-request");
        assertThat(slow.requests).isEmpty();
        assertThat(fast.requests).isEmpty();
    }

    /** Without the setting, requests are placed as before, and routes are explained all the same. */
    @Test
    void explainsRouteWithoutScheduling() throws Exception {
        ForwardHarness.Router router = harness.startRouter("r1");
        assertThat(explain(router, "/read/").getEndpoint()).isAnyOf("slow", "fast");
    }

    private static boolean echo(String request, java.io.OutputStream out) throws IOException {
        String id = request.lines()
                .filter(l -> l.startsWith("X-Request-Id: "))
                .findFirst()
                .map(l -> l.substring("X-Request-Id: ".length()))
                .orElse("");
        write(out, ok(id, "done"));
        return true;
    }

    private static void send(ForwardHarness.Router router) throws IOException {
        for (int i = 0; i < REQUESTS; i++) {
            assertThat(send(router, i)).startsWith("HTTP/1.1 200");
        }
    }

    private static String send(ForwardHarness.Router router, int number) throws IOException {
        return router.send("GET /read/ HTTP/1.1\r\nHost: h\r\nX-Request-Id: q" + number
                + "\r\nAuthorization: Bearer secret\r\nConnection: close\r\n\r\n");
    }

    private RouteExplanation explain(ForwardHarness.Router router, String path) throws Exception {
        Transport transport = new Transport(
                Hello.newBuilder().setName("operator").setRole(Role.OPERATOR).build(), 1);
        closed.add(transport);
        try (FrameClient client = transport.connect(router.peers(), (p, f) -> {})) {
            for (int i = 0; i < 100 && client.peer().isEmpty(); i++) {
                TimeUnit.MILLISECONDS.sleep(20);
            }
            CompletableFuture<Frame> reply = client.call(
                    Frame.newBuilder()
                            .setRouteQuery(RouteQuery.newBuilder()
                                    .setHost("h")
                                    .setPath(path)
                                    .addHeaders(Header.newBuilder()
                                            .setName("Authorization")
                                            .setValue("Bearer secret"))),
                    Duration.ofSeconds(2));
            return reply.get(2, TimeUnit.SECONDS).getRouteExplanation();
        }
    }

    private static double cost(RouteExplanation e, String endpoint) {
        return e.getCandidatesList().stream()
                .filter(c -> c.getEndpoint().equals(endpoint))
                .mapToDouble(RouteCandidate::getCostMs)
                .findFirst()
                .orElse(0);
    }
}
