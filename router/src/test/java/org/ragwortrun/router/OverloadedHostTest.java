package org.ragwortrun.router;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.ragwortrun.router.ScriptedEndpoint.ok;
import static org.ragwortrun.router.ScriptedEndpoint.write;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.ragwortrun.core.concurrent.Closer;

/** Tests what callers and the load balancer see of a router whose link has too little bandwidth for its requests. */
final class OverloadedHostTest {
    private static final Map<String, String> SMALL_LINK = Map.of("scheduling.enabled", "yes", "host.link-mbps", "1");
    private static final String ANSWER = "x".repeat(20_000);
    // More than the buffers of a connection hold, so the caller still writes when the answer arrives.
    private static final int LONG_BODY = 3 << 20;
    private static final int ATTEMPTS = 40;
    private static final long LOAD_PAUSE_MS = 50;
    // A new coordinator grants nothing for 12 s, and an overload must last for half a second.
    private static final long LEAVE_MS = 25_000;

    private final Closer closer = new Closer();
    private ForwardHarness harness;
    private ScriptedEndpoint endpoint;

    @BeforeEach
    void start() throws Exception {
        harness = closer.register(new ForwardHarness());
        endpoint = harness.addEndpoint("e1", (request, out) -> {
            write(out, ok(id(request), ANSWER));
            return true;
        });
    }

    @AfterEach
    void stop() {
        closer.close();
    }

    /** Guards against a refusal that the caller cannot read because its upload is reset. */
    @Test
    void callerOfLongUploadReceivesRefusalOnHead() throws Exception {
        ForwardHarness.Router router = harness.startRouter("r1", SMALL_LINK);
        load(router);
        String refusal = "";
        for (int i = 0; i < ATTEMPTS && refusal.isEmpty(); i++) {
            String answer = upload(router, "u" + i);
            refusal = answer.startsWith("HTTP/1.1 503") ? answer : "";
            assertThat(endpoint.requests.stream().anyMatch(r -> r.contains("X-Request-Id: u")))
                    .isFalse();
            Thread.sleep(LOAD_PAUSE_MS);
        }
        assertThat(refusal).contains("host-overloaded");
        assertThat(refusal).contains("\"run\":\"not run\"");
        String headers = refusal.toLowerCase(Locale.ROOT);
        assertThat(headers).contains("retry-after: 0.050");
        assertThat(headers).contains("connection: close");
        assertThat(headers).contains("x-request-id: u");
    }

    /** Guards against a refusal that overtakes the answer to an earlier request on the connection. */
    @Test
    void pipelinedRequestsAreAnsweredInOrder() throws Exception {
        ForwardHarness.Router router = harness.startRouter("r1", SMALL_LINK);
        load(router);
        int refusedAfterServed = 0;
        for (int i = 0; i < ATTEMPTS && refusedAfterServed == 0; i++) {
            List<Integer> statuses = pipeline(router, "p" + i + "-");
            refusedAfterServed += statuses.size() > 1 && statuses.contains(503) ? 1 : 0;
            Thread.sleep(LOAD_PAUSE_MS);
        }
        assertThat(refusedAfterServed).isEqualTo(1);
    }

    /**
     * Guards against a router with a full link that stays in rotation, and against one that does not return. At least one
     * of the two routers is not the one that decides.
     */
    @ParameterizedTest
    @ValueSource(ints = {0, 1})
    void overloadedRouterLeavesRotationAndReturns(int number) throws Exception {
        List<ForwardHarness.Router> routers = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            routers.add(harness.startRouter("r" + i, SMALL_LINK));
        }
        harness.sendRouterList();
        ForwardHarness.Router hot = routers.get(number);
        Closer load = closer.register(new Closer());
        load(hot, load);
        assertThat(awaitReadiness(hot, false, LEAVE_MS)).isTrue();
        assertThat(routers.get(1 - number).isReady()).isTrue();
        assertThat(routers.get(2).isReady()).isTrue();
        Thread.sleep(2_500);
        assertThat(hot.isReady()).isFalse();
        int kept = 0;
        int closed = 0;
        // Callers move a few connections at a time.
        for (int i = 0; closed == 0 && !hot.isReady(); i++) {
            boolean closes =
                    answer(hot, request("w" + i, "")).toLowerCase(Locale.ROOT).contains("connection: close");
            closed += closes ? 1 : 0;
            kept += closes ? 0 : 1;
        }
        assertThat(closed).isEqualTo(1);
        assertThat(kept).isAtLeast(1);
        load.close();
        assertThat(awaitReadiness(hot, true, 2 * ForwardHarness.TIMEOUT_MS)).isTrue();
    }

    /** Guards against urgent requests that are refused while less urgent ones are served. */
    @Test
    void urgentRequestsAreServed() throws Exception {
        harness.control.putSection(
                "forward",
                "urgent",
                Map.of(
                        "host",
                        "h",
                        "path",
                        "/urgent/",
                        "kind",
                        "idempotent",
                        "to",
                        "o",
                        "timeout",
                        "3s",
                        "priority",
                        "0"));
        ForwardHarness.Router router = harness.startRouter("r1", SMALL_LINK);
        load(router);
        int refused = 0;
        for (int i = 0; i < ATTEMPTS; i++) {
            refused += router.send(request("s" + i, "Connection: close\r\n")).startsWith("HTTP/1.1 503") ? 1 : 0;
            if (i % 4 == 0) {
                String urgent = request("t" + i, "Connection: close\r\n").replace("/read/", "/urgent/");
                assertThat(router.send(urgent)).startsWith("HTTP/1.1 200");
            }
            Thread.sleep(LOAD_PAUSE_MS);
        }
        assertThat(refused).isAtLeast(5);
    }

    /** Guards against a final refusal that is hidden by one that invites a retry. */
    @Test
    void unknownKeyIsRefusedAsSuchDuringOverload() throws Exception {
        ForwardHarness.Router router = harness.startRouter("r1", SMALL_LINK);
        load(router);
        int refused = 0;
        for (int i = 0; i < ATTEMPTS; i++) {
            String request = request("k" + i, "Connection: close\r\n");
            refused += router.send(request).startsWith("HTTP/1.1 503") ? 1 : 0;
            assertThat(router.send(request.replace("secret", "no"))).startsWith("HTTP/1.1 401");
            Thread.sleep(LOAD_PAUSE_MS);
        }
        assertThat(refused).isAtLeast(5);
    }

    /** Guards against refusals where the settings do not enable them. */
    @Test
    void routerWithoutSchedulingRefusesNothing() throws Exception {
        ForwardHarness.Router router = harness.startRouter("r1", Map.of("host.link-mbps", "1"));
        for (int i = 0; i < ATTEMPTS; i++) {
            assertThat(router.send(request("n" + i, "Connection: close\r\n"))).startsWith("HTTP/1.1 200");
        }
    }

    private static String id(String message) {
        return message.replaceAll("(?s).*X-Request-Id: ([^\r]*).*", "$1");
    }

    private static String request(String id, String headers) {
        return "GET /read/ HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer secret\r\nX-Request-Id: " + id + "\r\n"
                + headers + "\r\n";
    }

    private void load(ForwardHarness.Router router) {
        load(router, closer);
    }

    /** Sends four times as many requests as the link carries, until the closer is closed. */
    private static void load(ForwardHarness.Router router, Closer until) {
        Thread sender = new Thread(() -> {
            try {
                for (int i = 0; !Thread.currentThread().isInterrupted(); i++) {
                    router.send(request("l" + i, "Connection: close\r\n"));
                    Thread.sleep(LOAD_PAUSE_MS);
                }
            } catch (IOException | InterruptedException e) {
                // The router or the test has ended.
            }
        });
        sender.setDaemon(true);
        sender.start();
        until.register(sender::interrupt);
    }

    private static boolean awaitReadiness(ForwardHarness.Router router, boolean ready, long timeoutMs)
            throws IOException, InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
        while (router.isReady() != ready && System.nanoTime() < end) {
            Thread.sleep(LOAD_PAUSE_MS);
        }
        return router.isReady() == ready;
    }

    /** Sends the head and the beginning of a long body, and returns the answer, or nothing if none arrives at once. */
    private static String upload(ForwardHarness.Router router, String id) throws IOException {
        try (Socket s = new Socket("127.0.0.1", router.port())) {
            Thread writer = new Thread(() -> {
                try {
                    OutputStream out = s.getOutputStream();
                    write(
                            out,
                            request(id, "Content-Length: " + LONG_BODY + "\r\n").replace("GET", "POST"));
                    // The last byte is never sent, so no request with this body can be complete.
                    out.write(new byte[LONG_BODY - 1]);
                } catch (IOException e) {
                    // The router has closed the connection.
                }
            });
            writer.setDaemon(true);
            writer.start();
            s.setSoTimeout(300);
            byte[] status = s.getInputStream().readNBytes(12);
            s.setSoTimeout(ForwardHarness.TIMEOUT_MS);
            return new String(status, StandardCharsets.ISO_8859_1) + ScriptedEndpoint.readRequest(s.getInputStream());
        } catch (java.net.SocketTimeoutException e) {
            return "";
        }
    }

    /** Sends a request on a connection of its own, which stays open, and returns the answer. */
    private static String answer(ForwardHarness.Router router, String request) throws IOException {
        try (Socket s = new Socket("127.0.0.1", router.port())) {
            s.setSoTimeout(ForwardHarness.TIMEOUT_MS);
            write(s.getOutputStream(), request);
            return ScriptedEndpoint.readRequest(s.getInputStream());
        }
    }

    /** Sends five requests at once, checks the order of the answers, and returns their statuses. */
    private static List<Integer> pipeline(ForwardHarness.Router router, String prefix) throws IOException {
        List<Integer> statuses = new ArrayList<>();
        try (Socket s = new Socket("127.0.0.1", router.port())) {
            s.setSoTimeout(ForwardHarness.TIMEOUT_MS);
            StringBuilder all = new StringBuilder();
            for (int i = 0; i < 5; i++) {
                all.append(request(prefix + i, ""));
            }
            write(s.getOutputStream(), all.toString());
            for (int i = 0; i < 5; i++) {
                String answer = ScriptedEndpoint.readRequest(s.getInputStream());
                assertWithMessage(answer).that(answer).matches("(?s)HTTP/1.1 (200|503).*");
                assertThat(answer.toLowerCase(Locale.ROOT)).contains("x-request-id: " + prefix + i + "\r\n");
                statuses.add(Integer.valueOf(answer.substring(9, 12)));
                if (answer.startsWith("HTTP/1.1 503")) {
                    assertThat(answer).contains("host-overloaded");
                }
            }
        }
        return statuses;
    }
}
