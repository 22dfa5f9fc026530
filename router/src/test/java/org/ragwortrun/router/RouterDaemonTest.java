package org.ragwortrun.router;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

final class RouterDaemonTest {
    // Above the 2 s within which a change comes into force everywhere, below the lease of 3 s.
    private static final long UNCONFIRMED_MS = 2_300;

    private RouterHarness harness;

    @BeforeEach
    void start() throws Exception {
        harness = new RouterHarness(Map.of());
    }

    @AfterEach
    void stop() {
        harness.close();
    }

    /** Guards against a final denial by a configuration that no control member has confirmed lately. */
    @Test
    void doesNotDenyWhileUnconfirmed() throws Exception {
        harness.control.silent = true;
        TimeUnit.MILLISECONDS.sleep(UNCONFIRMED_MS);
        assertThat(harness.get("/nowhere").statusCode()).isEqualTo(503);
        assertThat(harness.send(harness.request("/orders").setHeader("Authorization", "Bearer added"))
                        .statusCode())
                .isEqualTo(503);
        assertThat(harness.get("/orders/1").statusCode()).isEqualTo(200);
        harness.control.silent = false;
        RouterHarness.await(() -> status("/nowhere") == 404);
    }

    private int status(String path) {
        try {
            return harness.get(path).statusCode();
        } catch (IOException | InterruptedException e) {
            return -1;
        }
    }

    /** Guards against a streamed answer with missing text, usage or end. */
    @Test
    void streamsAnAnswerWithUsageInTheLastEvent() throws Exception {
        HttpResponse<String> r = harness.send(harness.chat(true, "how hot"));
        assertThat(r.statusCode()).isEqualTo(200);
        assertThat(r.headers().firstValue("Content-Type").orElse("")).startsWith("text/event-stream");
        assertThat(r.headers().firstValue("X-Request-Id").orElse("")).isNotEmpty();
        assertThat(RouterHarness.streamedText(r.body())).isEqualTo(harness.first.text);
        assertThat(r.body()).contains("\"usage\":{\"prompt_tokens\":3,\"completion_tokens\":7,\"total_tokens\":10}");
    }

    /** Guards against an answer without streaming that is not one JSON document. */
    @Test
    void answersNonStreamingRequestWithOneDocument() throws Exception {
        HttpResponse<String> r = harness.send(harness.chat(false, "how hot"));
        assertThat(r.statusCode()).isEqualTo(200);
        assertThat(r.body()).contains("\"content\":\"" + harness.first.text + "\"},\"finish_reason\":\"stop\"");
        assertThat(r.body()).endsWith("}");
    }

    /** Guards against a plain route that changes the answer or matches a shorter prefix. */
    @Test
    void forwardsPlainRoutesUnchanged() throws Exception {
        harness.orders.contentType = "application/json";
        harness.orders.text = "{\"stock\":4}";
        HttpResponse<String> r = harness.get("/orders/stock?kiln=2");
        assertThat(r.statusCode()).isEqualTo(200);
        assertThat(r.body()).isEqualTo("{\"stock\":4}");
        assertThat(r.headers().firstValue("Content-Type").orElse("")).startsWith("application/json");
        assertThat(harness.orders.dispatches.get(0).getPath()).isEqualTo("/orders/stock?kiln=2");
        assertThat(harness.orders.dispatches.get(0).getRoute()).isEqualTo("read");
    }
}
