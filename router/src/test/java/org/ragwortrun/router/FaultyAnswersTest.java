package org.ragwortrun.router;

import static com.google.common.truth.Truth.assertThat;
import static org.ragwortrun.router.ScriptedEndpoint.streamHead;
import static org.ragwortrun.router.ScriptedEndpoint.write;

import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests what callers receive when endpoints write answers that are cut short, repeated, out of place or endless. */
final class FaultyAnswersTest {
    private static final String TWO_EVENTS = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
    private static final String ERROR_TEXT = "stack trace of the engine";

    private final AtomicInteger ids = new AtomicInteger();
    private ForwardHarness harness;

    @BeforeEach
    void start() throws Exception {
        harness = new ForwardHarness();
    }

    @AfterEach
    void stop() {
        harness.close();
    }
    /** Guards against a stream without a length or chunks that is not forwarded completely, or ends within an event. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void forwardsStreamThatEndsWithItsConnection(boolean wholeEvents) throws Exception {
        harness.addEndpoint("e1", (request, out) -> {
            write(
                    out,
                    streamHead(id(request)).replace("Transfer-Encoding: chunked\r\n", "")
                            + TWO_EVENTS
                            + (wholeEvents ? "" : "id: 3\nda"));
            return false;
        });
        String answer = harness.startRouter("r1").send(get("/draft/"));
        assertThat(answer).contains(TWO_EVENTS);
        assertThat(answer.endsWith("0\r\n\r\n")).isEqualTo(wholeEvents);
    }

    private String get(String target) {
        return "GET " + target + " HTTP/1.1\r\nHost: h\r\nX-Request-Id: q" + ids.incrementAndGet()
                + "\r\nAuthorization: Bearer secret\r\nConnection: close\r\n\r\n";
    }

    private static String id(String request) {
        return request.split("X-Request-Id: ", 2)[1].split("\r", 2)[0];
    }
}
