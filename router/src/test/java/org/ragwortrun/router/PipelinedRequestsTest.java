package org.ragwortrun.router;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.ragwortrun.router.ScriptedEndpoint.ok;
import static org.ragwortrun.router.ScriptedEndpoint.write;

import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests what callers receive who send several requests ahead on one connection. */
final class PipelinedRequestsTest {
    // More than the buffers of a connection hold.
    private static final int UNREAD_ANSWERS = 400;
    private static final String LARGE_BODY = "x".repeat(20_000);
    private static final int MIXED_REQUESTS = 100;
    private static final List<String> METHODS = List.of("GET", "HEAD", "POST");
    private static final List<Integer> STATUSES = List.of(200, 200, 204, 304, 401, 404, 410);
    private static final int SMALL_RECEIVE_BUFFER_BYTES = 8 << 10;
    // Less than the time limit of the route, so that a request that waits for it is noticed.
    private static final int SERVE_TIMEOUT_MS = 2_000;

    private ForwardHarness harness;

    @BeforeEach
    void start() throws Exception {
        harness = new ForwardHarness();
    }

    @AfterEach
    void stop() {
        harness.close();
    }

    /** Guards against requests that reach their time limit on a connection that was paused for an earlier caller. */
    @Test
    void connectionIsReadAfterAnswerToSlowCaller() throws Exception {
        ScriptedEndpoint endpoint = harness.addEndpoint("e1", (request, out) -> {
            write(out, ok(id(request), id(request).startsWith("slow") ? LARGE_BODY : "done"));
            return true;
        });
        int port = harness.startRouter("r1").port();
        try (Socket slow = new Socket();
                Socket other = new Socket("127.0.0.1", port)) {
            slow.setReceiveBufferSize(SMALL_RECEIVE_BUFFER_BYTES);
            slow.connect(new InetSocketAddress("127.0.0.1", port));
            other.setSoTimeout(SERVE_TIMEOUT_MS);
            for (int i = 0; i < UNREAD_ANSWERS; i++) {
                write(slow.getOutputStream(), request("GET", "/read/", "slow" + i, ""));
                awaitRequests(endpoint, 2 * i + 1);
                write(other.getOutputStream(), request("GET", "/read/", "q" + i, ""));
                String answer = ScriptedEndpoint.readRequest(other.getInputStream());
                assertWithMessage("answer %s", i).that(answer).startsWith("HTTP/1.1 200");
                assertThat(id(answer)).isEqualTo("q" + i);
            }
        }
    }

    /** Guards against a request that gets the refusal of a later one, which its caller would not repeat. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "GET\r\n\r\n",
                "GET /read/ HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n",
                "POST /read/ HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
                "POST /read/ HTTP/1.1\r\nContent-Length: 999999999999\r\n\r\n"
            })
    void requestsBeforeUnreadableOneGetTheirOwnAnswers(String unreadable) throws Exception {
        harness.addEndpoint("e1", (request, out) -> {
            write(out, ok(id(request), id(request)));
            return true;
        });
        String answers = harness.startRouter("r1")
                .send(request("GET", "/read/", "q1", "")
                        + request("GET", "/unknown/", "q2", "")
                        + request("GET", "/read/", "q3", "")
                        + unreadable
                        + request("GET", "/read/", "q4", ""));
        assertThat(statuses(answers))
                .containsExactly("200 q1", "404 q2", "200 q3")
                .inOrder();
    }

    /** Guards against answers out of step after refused requests, and after answers without a body. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void mixedRequestsGetTheirOwnAnswers(long seed) throws Exception {
        harness.addEndpoint("e1", (request, out) -> {
            write(out, mixedAnswer(request));
            return true;
        });
        Random random = new Random(seed);
        StringBuilder requests = new StringBuilder();
        List<String> methods = new ArrayList<>();
        List<String> expected = new ArrayList<>();
        for (int i = 0; i < MIXED_REQUESTS; i++) {
            String method = METHODS.get(random.nextInt(METHODS.size()));
            int status = STATUSES.get(random.nextInt(STATUSES.size()));
            String id = status + "-" + i;
            String body = method.equals("POST") ? "x".repeat(random.nextInt(9)) : "";
            String fields = "Content-Length: " + body.length() + "\r\n"
                    + (i == MIXED_REQUESTS - 1 ? "Connection: close\r\n" : "");
            String request = request(method, status == 404 ? "/unknown/" : "/read/", id, fields) + body;
            requests.append(status == 401 ? request.replace("secret", "wrong") : request);
            methods.add(method);
            boolean hasBody = !method.equals("HEAD") && (status == 200 || status == 410);
            expected.add(status + " " + id + (hasBody ? " " + method + id + body : ""));
        }
        assertThat(read(harness.startRouter("r1").send(requests.toString()), methods))
                .containsExactlyElementsIn(expected)
                .inOrder();
    }

    private static String mixedAnswer(String request) {
        String id = id(request);
        String method = request.substring(0, request.indexOf(' '));
        String status = id.substring(0, 3);
        String head = "HTTP/1.1 " + status + " S\r\nX-Request-Id: " + id + "\r\nRagwortrun-Proof: " + id + "\r\n";
        if (status.equals("204") || status.equals("304")) {
            return head + "\r\n";
        }
        String body = method + id + request.split("\r\n\r\n", 2)[1];
        boolean chunked = id.hashCode() % 2 == 0;
        String framing = chunked ? "Transfer-Encoding: chunked" : "Content-Length: " + body.length();
        String framed = chunked ? ScriptedEndpoint.chunk(body) + "0\r\n\r\n" : body;
        return head + framing + "\r\n\r\n" + (method.equals("HEAD") ? "" : framed);
    }

    /** Returns status, id and body of each answer. The bodies of refusals by the router are left out. */
    private static List<String> read(String answers, List<String> methods) {
        List<String> read = new ArrayList<>();
        String rest = answers;
        for (String method : methods) {
            int end = rest.indexOf("\r\n\r\n") + 4;
            String head = rest.substring(0, end).toLowerCase(Locale.ROOT);
            rest = rest.substring(end);
            String status = head.substring(9, 12);
            String body = "";
            if (!method.equals("HEAD") && !status.equals("204") && !status.equals("304")) {
                boolean chunked = head.contains("transfer-encoding: chunked");
                int line = chunked ? rest.indexOf("\r\n") : 0;
                int length = chunked
                        ? Integer.parseInt(rest.substring(0, line), 16)
                        : Integer.parseInt(head.split("content-length: ", 2)[1].split("\r", 2)[0]);
                int start = chunked ? line + 2 : 0;
                body = rest.substring(start, start + length);
                rest = rest.substring(start + length + (chunked ? "\r\n0\r\n\r\n".length() : 0));
            }
            boolean refused = status.equals("401") || status.equals("404");
            if (!refused) {
                assertThat(head).contains("ragwortrun-proof: " + id(head) + "\r\n");
            }
            read.add(status + " " + id(head) + (refused || body.isEmpty() ? "" : " " + body));
        }
        assertThat(rest).isEmpty();
        return read;
    }

    private static void awaitRequests(ScriptedEndpoint endpoint, int count) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(SERVE_TIMEOUT_MS);
        while (endpoint.requests.size() < count && System.nanoTime() < end) {
            Thread.sleep(1);
        }
        assertThat(endpoint.requests.size()).isAtLeast(count);
    }

    /** Returns the status and id of each answer. */
    private static List<String> statuses(String answers) {
        return Arrays.stream(answers.split("HTTP/1.1 "))
                .skip(1)
                .map(a ->
                        a.substring(0, 3) + (a.toLowerCase(Locale.ROOT).contains("x-request-id: ") ? " " + id(a) : ""))
                .toList();
    }

    private static String request(String method, String target, String id, String fields) {
        return method + " " + target + " HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + id
                + "\r\nAuthorization: Bearer secret\r\n" + fields + "\r\n";
    }

    private static String id(String message) {
        return message.toLowerCase(Locale.ROOT).split("x-request-id: ", 2)[1].split("\r", 2)[0];
    }
}
