package org.ragwortrun.agent;

import static com.google.common.truth.Truth.assertWithMessage;
import static org.ragwortrun.agent.ScriptedEndpoint.write;

import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.ragwortrun.core.concurrent.Closer;
import org.ragwortrun.net.FrameClient;

/** Tests an endpoint that cuts an answer within its head and writes another answer on the same connection. */
final class JoinedHeadsTest {
    private static final String SUCCESS = "HTTP/1.1 200 OK\r\nServer: s\r\nContent-Length: 4\r\n\r\ndone";
    private static final String FAILURE = "HTTP/1.1 500 Failed\r\nServer: s\r\nContent-Length: 6\r\n\r\nfailed";
    // With a colon, this status line can be read as a header.
    private static final String FAILURE_WITH_COLON = FAILURE.replace("Failed", "Failed: disk");
    private static final String INTERIM = "HTTP/1.1 103 Early Hints\r\nLink: l\r\n\r\n";
    private static final String EVENTS =
            "data: {\"choices\":[{\"delta\":{\"content\":\"own\"}}],\"usage\":{\"completion_tokens\":3}}\n\n"
                    + "data: [DONE]\n\n";
    private static final String STREAM = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: "
            + EVENTS.length() + "\r\n\r\n" + EVENTS;
    // Less than the request's deadline and the agent's idle timeout, so that a request that waits for them is noticed.
    private static final int ANSWER_TIMEOUT_MS = 2_000;

    private final Closer closer = new Closer();

    @AfterEach
    void stop() {
        closer.close();
    }

    /** Guards against a success for a request that the endpoint answered with a failure. */
    @ParameterizedTest
    @ValueSource(strings = {FAILURE, "HTTP/1.1 500 Failed: disk\r\nContent-Length: 6\r\n\r\nfailed"})
    void cutSuccessIsNotJoinedWithFailure(String failure) throws Exception {
        sendForEachCut("plain", SUCCESS, failure);
    }

    /** Guards against a failure for a request that the endpoint answered with a success. */
    @ParameterizedTest
    @ValueSource(strings = {FAILURE, "HTTP/1.1 500 Failed: disk\r\nContent-Length: 6\r\n\r\nfailed"})
    void cutFailureIsNotJoinedWithSuccess(String failure) throws Exception {
        sendForEachCut("plain", failure, SUCCESS);
    }

    /** Guards against an answer that is read as an interim response, so that the request waits until its time limit. */
    @Test
    void cutInterimResponseIsNotJoinedWithAnswer() throws Exception {
        sendForEachCut("plain", INTERIM, SUCCESS);
    }

    /** Guards against an engine's failure that is read as the beginning of a stream. */
    @Test
    void cutStreamIsNotJoinedWithFailure() throws Exception {
        sendForEachCut("model", STREAM, FAILURE_WITH_COLON);
    }

    /** Guards against an engine's stream that is delivered as a failure. */
    @Test
    void cutFailureIsNotJoinedWithStream() throws Exception {
        sendForEachCut("model", FAILURE, STREAM);
    }

    /** Guards against a failed health check that counts as passed. */
    @Test
    void cutSuccessIsNotJoinedWithFailedHealthCheck() throws Exception {
        ScriptedEndpoint endpoint = closer.register(new ScriptedEndpoint((id, out) -> write(out, SUCCESS)));
        AgentFixture fixture = start("plain", endpoint);
        endpoint.answerHealthChecksWith("HTTP/1.1 200 O" + FAILURE);
        AgentFixture.await(() -> !fixture.load().getHealthy());
    }

    /** Checks that a request gets the whole answer's status or none, for each cut of the other answer's head. */
    private void sendForEachCut(String kind, String cut, String whole) throws Exception {
        ScriptedEndpoint endpoint = closer.register(new ScriptedEndpoint(
                (id, out) -> write(out, cut.substring(0, bytesToWrite(id)) + whole)));
        AgentFixture fixture = start(kind, endpoint);
        FrameClient router = fixture.connect();
        int ownStatus = Integer.parseInt(whole.split(" ")[1]);
        for (int bytes = 0; bytes < cut.indexOf("\r\n\r\n") + 2; bytes++) {
            String id = "cut-" + bytes;
            long begin = System.nanoTime();
            AnswerReader answer =
                    fixture.send(router, kind.equals("plain") ? fixture.order(id) : fixture.chat(id, "x"));
            answer.finished();
            long ms = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - begin);
            assertWithMessage("ms after %s bytes", bytes).that(ms).isLessThan(ANSWER_TIMEOUT_MS);
            assertWithMessage("after %s bytes", bytes).that(answer.status()).isAnyOf(0, ownStatus);
        }
    }

    private AgentFixture start(String kind, ScriptedEndpoint endpoint) throws Exception {
        return closer.register(new AgentFixture(kind, endpoint.url(), Map.of("slots", "4"), Map.of()));
    }

    /** Returns the number of bytes of the cut answer that the id of a request asks for. */
    private static int bytesToWrite(String id) {
        return Integer.parseInt(id.replaceAll(".*cut-(\\d+).*", "$1"));
    }
}
