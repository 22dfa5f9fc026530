package org.ragwortrun.router;

import static com.google.common.truth.Truth.assertThat;
import static org.ragwortrun.router.ScriptedEndpoint.ok;
import static org.ragwortrun.router.ScriptedEndpoint.write;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Changes the limits of callers in the configuration while a router runs and connections are open. */
final class CallerLimitsTest {
    private static final int TIMEOUT_MS = 5_000;
    private static final int SMALL = 10_000;
    private static final int LARGE = 24_000;

    private ForwardHarness harness;
    private ForwardHarness.Router router;

    @BeforeEach
    void start() throws Exception {
        harness = new ForwardHarness();
        harness.addEndpoint("e1", (request, out) -> {
            write(out, ok(request.replaceAll("(?s).*X-Request-Id: (\\w+).*", "$1"), "done"));
            return true;
        });
        router = harness.startRouter("r1");
    }

    @AfterEach
    void stop() {
        harness.close();
    }

    /** Guards against a router that keeps the header limit with which it began to listen. */
    @Test
    void appliesChangedHeaderLimit() throws Exception {
        try (Socket open = connect()) {
            assertThat(status(open, get(SMALL))).isEqualTo("200");
            change("header-bytes", "65536");
            awaitStatus(get(LARGE), "200");
            assertThat(status(open, get(LARGE))).isEqualTo("200");
            change("header-bytes", "4096");
            awaitStatus(get(SMALL), "413");
            assertThat(status(open, get(SMALL))).isEqualTo("413");
        }
    }

    /** Guards against a router that keeps the body limit with which it began to listen. */
    @Test
    void appliesChangedBodyLimit() throws Exception {
        try (Socket open = connect()) {
            change("body-bytes", "1000");
            awaitStatus(post(SMALL), "413");
            assertThat(status(open, get(0))).isEqualTo("200");
            change("body-bytes", "20000");
            awaitStatus(post(SMALL), "200");
            assertThat(status(open, post(SMALL))).isEqualTo("200");
        }
    }

    /** Guards against a router that keeps the times with which it began to listen. */
    @Test
    void appliesChangedTimes() throws Exception {
        try (Socket idle = connect();
                Socket slow = connect()) {
            assertThat(status(idle, get(0))).isEqualTo("200");
            slow.getOutputStream().write(post(SMALL).substring(0, SMALL).getBytes(StandardCharsets.ISO_8859_1));
            change("idle-timeout", "1s", "header-timeout", "1s");
            assertThat(idle.getInputStream().read()).isEqualTo(-1);
            assertThat(new String(slow.getInputStream().readNBytes(12), StandardCharsets.ISO_8859_1))
                    .endsWith("408");
        }
    }

    private Socket connect() throws IOException {
        Socket s = new Socket("127.0.0.1", router.port());
        s.setSoTimeout(TIMEOUT_MS);
        return s;
    }

    private void change(String... properties) {
        Map<String, String> all = new HashMap<>();
        for (int i = 0; i < properties.length; i += 2) {
            all.put(properties[i], properties[i + 1]);
        }
        harness.control.putSection("limits", "callers", all);
        harness.control.publish();
    }

    private void awaitStatus(String request, String expected) throws IOException, InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MS);
        String status = "";
        while (!status.equals(expected) && System.nanoTime() < end) {
            try (Socket s = connect()) {
                status = status(s, request);
            }
            TimeUnit.MILLISECONDS.sleep(50);
        }
        assertThat(status).isEqualTo(expected);
    }

    /** Sends a request and returns the status of its answer, whose body is four bytes long if it is a success. */
    private static String status(Socket s, String request) throws IOException {
        try {
            s.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
        } catch (SocketException e) {
            // The router may refuse a request before it has read all of it.
        }
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int c = s.getInputStream().read();
            if (c < 0) {
                return "";
            }
            head.append((char) c);
        }
        String status = head.substring(9, 12);
        if (status.equals("200")) {
            s.getInputStream().readNBytes("done".length());
        }
        return status;
    }

    private static String get(int headerBytes) {
        return "GET /read/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: q1\r\nAuthorization: Bearer secret\r\nX-More: "
                + "x".repeat(headerBytes) + "\r\n\r\n";
    }

    private static String post(int bodyBytes) {
        return "POST /read/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: q1\r\nAuthorization: Bearer secret\r\nContent-Length: "
                + bodyBytes + "\r\n\r\n" + "x".repeat(bodyBytes);
    }
}
