package org.ragwortrun.standins;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

final class StandinEngineTest {
    private final HttpClient http = HttpClient.newHttpClient();
    private StandinEngine engine;

    @BeforeEach
    void start() throws Exception {
        engine = StandinEngine.start(EngineOptions.defaults().withKv(1_000, 500).withFencing(true));
    }

    @AfterEach
    void stop() {
        engine.close();
    }

    /** Guards against engine answers that differ from {@link ExpectedAnswer}, complete or resumed. */
    @Test
    void returnsExpectedAnswerAndResumes() throws Exception {
        ExpectedAnswer expected = ExpectedAnswer.to("hello [len=20]");
        String whole = chat("\"messages\":[{\"role\":\"user\",\"content\":\"hello [len=20]\"}]");
        assertThat(whole).contains("\"" + expected.text() + "\"");
        assertThat(whole).contains("\"completion_tokens\":20");
        String rest = chat("\"messages\":[{\"role\":\"user\",\"content\":\"hello [len=20]\"},{\"role\":\"assistant\","
                + "\"content\":\"" + expected.text(7) + "\"}],\"continue_final_message\":true");
        assertThat(rest)
                .contains("\"" + expected.text().substring(expected.text(7).length()) + "\"");
    }

    /** Guards against an engine that keeps running above its KV limit or after a crash marker. */
    @Test
    void crashesAboveKvLimitAndByMarker() throws Exception {
        assertThrows(
                IOException.class,
                () -> chat("\"messages\":[{\"role\":\"user\",\"content\":\"big [len=900]\"}],\"stream\":true"));
        assertThat(engine.isRunning()).isFalse();
        engine.restart();
        assertThrows(IOException.class, () -> chat("\"messages\":[{\"role\":\"user\",\"content\":\"[crash=3]\"}]"));
        assertThat(engine.crashes()).isEqualTo(2);
    }

    /** Guards against an outdated load order that replaces a newer version. */
    @Test
    void rejectsOutdatedFencingNumber() throws Exception {
        assertThat(post("/v1/models/load", "{\"id\":\"a\",\"version\":\"v2\",\"fencing\":5}")
                        .statusCode())
                .isEqualTo(200);
        assertThat(post("/v1/models/load", "{\"id\":\"b\",\"version\":\"v1\",\"fencing\":4}")
                        .statusCode())
                .isEqualTo(409);
        assertThat(engine.version()).isEqualTo("v2");
    }

    private String chat(String fields) throws IOException, InterruptedException {
        return post("/v1/chat/completions", "{\"model\":\"m\"," + fields + "}").body();
    }

    private HttpResponse<String> post(String path, String body) throws IOException, InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(URI.create(engine.url() + path))
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
        return http.send(request, HttpResponse.BodyHandlers.ofString());
    }
}
