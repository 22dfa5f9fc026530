package org.ragwortrun.router;

import static com.google.common.truth.Truth.assertThat;
import static org.ragwortrun.router.ScriptedEndpoint.chunk;
import static org.ragwortrun.router.ScriptedEndpoint.ok;
import static org.ragwortrun.router.ScriptedEndpoint.streamHead;
import static org.ragwortrun.router.ScriptedEndpoint.write;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests callers that read slowly or not at all while endpoints send large answers, or bytes without end. */
final class SlowCallersTest {
    private static final int CALLERS = 20;
    private static final int BLOCK_BYTES = 64 << 10;
    private static final int SMALL_CHUNKS = 10_000;
    // Buffers of the router and of the two connections on the way, which the operating system may extend.
    private static final long MAX_HELD_BYTES = 16L << 20;
    private static final int WAIT_MS = 1_500;

    private final AtomicInteger ids = new AtomicInteger();
    private final AtomicLong sent = new AtomicLong();
    private final List<Socket> callers = new ArrayList<>();
    private ForwardHarness harness;

    @BeforeEach
    void start() throws Exception {
        harness = new ForwardHarness();
        harness.control.putSection("origin", "o", Map.of("tokens-per-event", "2", "slots", "200"));
    }

    @AfterEach
    void stop() throws IOException {
        for (Socket s : callers) {
            s.close();
        }
        harness.close();
    }

    /** An answer without end: its head, and bytes that follow again and again, with their number without framing. */
    private record EndlessAnswer(String name, String head, String block, int bodyBytes) {
        @Override
        public String toString() {
            return name;
        }
    }

    private static List<EndlessAnswer> endlessAnswers() {
        String id = "X-Request-Id: ID\r\nRagwortrun-Proof: p\r\n";
        String bytes = "x".repeat(BLOCK_BYTES);
        return List.of(
                new EndlessAnswer("ends with the connection", "HTTP/1.1 200 OK\r\n" + id + "\r\n", bytes, BLOCK_BYTES),
                new EndlessAnswer(
                        "huge length",
                        "HTTP/1.1 200 OK\r\n" + id + "Content-Length: 1000000000000\r\n\r\n",
                        bytes,
                        BLOCK_BYTES),
                new EndlessAnswer(
                        "small chunks",
                        "HTTP/1.1 200 OK\r\n" + id + "Transfer-Encoding: chunked\r\n\r\n",
                        chunk("x").repeat(SMALL_CHUNKS),
                        SMALL_CHUNKS),
                new EndlessAnswer("failure", "HTTP/1.1 500 Failed\r\n" + id + "\r\n", bytes, BLOCK_BYTES));
    }

    /** Guards against a router that reads an answer as fast as its endpoint sends it, whatever the caller reads. */
    @ParameterizedTest
    @MethodSource("endlessAnswers")
    void readsNoFasterThanCaller(EndlessAnswer answer) throws Exception {
        harness.addEndpoint("e1", (request, out) -> sendWithoutEnd(request, out, answer));
        ForwardHarness.Router router = startRouter();
        callWithoutReading(router, 1);
        TimeUnit.MILLISECONDS.sleep(WAIT_MS);
        assertThat(sent.get()).isGreaterThan(0);
        assertThat(sent.get()).isLessThan(MAX_HELD_BYTES);
    }

    /** Guards against sound requests that wait because other endpoints send bytes without end to slow callers. */
    @ParameterizedTest
    @MethodSource("endlessAnswers")
    void servesOthersWhileEndpointSendsWithoutEnd(EndlessAnswer answer) throws Exception {
        harness.addEndpoint("e1", (request, out) -> {
            if (request.contains("/draft/")) {
                return sendWithoutEnd(request, out, answer);
            }
            write(out, ok(id(request), "done"));
            return true;
        });
        ForwardHarness.Router router = startRouter();
        callWithoutReading(router, CALLERS);
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(WAIT_MS);
        while (System.nanoTime() < end) {
            assertThat(router.send(get("/read/"))).startsWith("HTTP/1.1 200");
        }
    }

    /** Guards against a large sound answer that stops or is changed when its caller reads slowly. */
    @Test
    void deliversLargeAnswerToSlowCaller() throws Exception {
        String body = "0123456789".repeat(300_000);
        harness.addEndpoint("e1", (request, out) -> {
            write(out, ok(id(request), body));
            return true;
        });
        ForwardHarness.Router router = startRouter();
        callWithoutReading(router, 1);
        TimeUnit.MILLISECONDS.sleep(300);
        byte[] answer = callers.get(0).getInputStream().readAllBytes();
        assertThat(new String(answer, StandardCharsets.ISO_8859_1)).endsWith("\r\n\r\n" + body);
    }

    /** Guards against an event without end that is searched from its beginning again with each part of it. */
    @Test
    void failsEventWithoutEndInSmallChunks() throws Exception {
        String head = streamHead("ID");
        EndlessAnswer answer = new EndlessAnswer("event", head, chunk("x").repeat(SMALL_CHUNKS), SMALL_CHUNKS);
        harness.addEndpoint("e1", (request, out) -> sendWithoutEnd(request, out, answer));
        ForwardHarness.Router router = startRouter();
        long start = System.nanoTime();
        assertThat(router.send(get("/draft/"))).startsWith("HTTP/1.1 502");
        assertThat(System.nanoTime() - start).isLessThan(TimeUnit.MILLISECONDS.toNanos(WAIT_MS));
    }

    /** Starts a router that knows that it is the only one and may open many connections to an endpoint. */
    private ForwardHarness.Router startRouter() throws Exception {
        ForwardHarness.Router router = harness.startRouter("r1");
        harness.sendRouterList();
        TimeUnit.MILLISECONDS.sleep(100);
        return router;
    }

    private boolean sendWithoutEnd(String request, OutputStream out, EndlessAnswer answer) throws IOException {
        write(out, answer.head().replace("ID\r\n", id(request) + "\r\n"));
        byte[] block = answer.block().getBytes(StandardCharsets.ISO_8859_1);
        while (true) {
            out.write(block);
            sent.addAndGet(answer.bodyBytes());
        }
    }

    private void callWithoutReading(ForwardHarness.Router router, int count) throws IOException {
        for (int i = 0; i < count; i++) {
            Socket s = new Socket();
            callers.add(s);
            s.setReceiveBufferSize(8 << 10);
            s.setSoTimeout(ForwardHarness.TIMEOUT_MS);
            s.connect(new InetSocketAddress("127.0.0.1", router.port()));
            s.getOutputStream().write(get("/draft/").getBytes(StandardCharsets.ISO_8859_1));
        }
    }

    private String get(String target) {
        return "GET " + target + " HTTP/1.1\r\nHost: h\r\nX-Request-Id: q" + ids.incrementAndGet()
                + "\r\nAuthorization: Bearer secret\r\nConnection: close\r\n\r\n";
    }

    private static String id(String request) {
        return request.split("X-Request-Id: ", 2)[1].split("\r", 2)[0];
    }
}
