package org.ragwortrun.agent;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.ragwortrun.agent.ScriptedEndpoint.write;

import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ragwortrun.core.concurrent.Closer;
import org.ragwortrun.net.FrameClient;

/** Tests that an answer that an endpoint repeats on an open connection does not affect the next request. */
final class RepeatedAnswersTest {
    private static final String SUCCESS =
            "HTTP/1.1 200 OK\r\nServer: s\r\nX-Request-Id: ID\r\nContent-Length: 4\r\n\r\ndone";
    private static final String FAILURE = "HTTP/1.1 500 Failed\r\nContent-Length: 6\r\n\r\nfailed";

    private final Closer closer = new Closer();

    @AfterEach
    void stop() {
        closer.close();
    }

    /** Guards against bytes after an answer that become the answer, or a part of it, to the next request. */
    @ParameterizedTest
    @CsvSource({"0, ID", "20, ID", "0, other", "20, other", "0, ''", "20, ''"})
    void bytesAfterAnswerDoNotReachNextRequest(int delayMs, String repeatedId) throws Exception {
        String repeated = SUCCESS.replace("ID", repeatedId);
        ScriptedEndpoint endpoint = closer.register(new ScriptedEndpoint((id, out) -> {
            if (id.startsWith("next")) {
                write(out, FAILURE);
                return;
            }
            String extra = repeated.replace("ID", id).substring(0, Integer.parseInt(id.split("-")[1]));
            write(out, SUCCESS.replace("ID", id) + (delayMs == 0 ? extra : ""));
            TimeUnit.MILLISECONDS.sleep(delayMs);
            write(out, delayMs == 0 ? "" : extra);
        }));
        AgentFixture fixture =
                closer.register(new AgentFixture("plain", endpoint.url(), Map.of("slots", "4"), Map.of()));
        FrameClient router = fixture.connect();
        for (int bytes = 1; bytes <= repeated.length(); bytes++) {
            AnswerReader first = fixture.send(router, fixture.order("first-" + bytes));
            first.finished();
            TimeUnit.MILLISECONDS.sleep(delayMs / 2);
            AnswerReader next = fixture.send(router, fixture.order("next-" + bytes));
            next.finished();
            assertWithMessage("before %s bytes", bytes).that(first.status()).isEqualTo(200);
            assertWithMessage("after %s bytes", bytes).that(next.status()).isEqualTo(500);
            assertWithMessage("after %s bytes", bytes).that(next.text()).isEqualTo("failed");
        }
        assertThat(endpoint.reuses()).isEqualTo(0);
    }
}
