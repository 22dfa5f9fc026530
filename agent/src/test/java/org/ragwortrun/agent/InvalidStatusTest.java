package org.ragwortrun.agent;

import static com.google.common.truth.Truth.assertWithMessage;
import static org.ragwortrun.agent.ScriptedEndpoint.write;

import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.ragwortrun.core.concurrent.Closer;

/** Tests an endpoint whose answers have no valid status. */
final class InvalidStatusTest {
    private final Closer closer = new Closer();

    @AfterEach
    void stop() {
        closer.close();
    }

    /** Guards against an answer without a valid status that the agent reports as an answer of the endpoint. */
    @ParameterizedTest
    @ValueSource(strings = {"000", "007", "0", "20", "99", "600", "999", "1000", "200200", "+200", "0200", "2x0"})
    void failsRequestWhoseAnswerHasNoValidStatus(String status) throws Exception {
        String answer = "HTTP/1.1 " + status + " OK\r\nServer: s\r\nContent-Length: 4\r\n\r\ndone";
        String interim = "HTTP/1.1 103 Early Hints\r\nLink: l\r\n\r\n";
        ScriptedEndpoint endpoint = closer.register(
                new ScriptedEndpoint((id, out) -> write(out, (id.contains("interim") ? interim : "") + answer)));
        AgentFixture fixture =
                closer.register(new AgentFixture("plain", endpoint.url(), Map.of("slots", "4"), Map.of()));
        var router = fixture.connect();
        for (String id : new String[] {"plain-1", "interim-1"}) {
            AnswerReader reader = fixture.send(router, fixture.order(id));
            reader.finished();
            assertWithMessage(id).that(reader.status()).isEqualTo(0);
        }
    }
}
