package org.ragwortrun.measure.fleet;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpHeaders;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Map;

/** An HTTP client that authenticates as a client account. */
public final class Caller {
    private static final Duration TIMEOUT = Duration.ofSeconds(60);
    private static final HttpHeaders NO_HEADERS = HttpHeaders.of(Map.of(), (a, b) -> true);

    private final HttpClient http = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(2))
            .build();
    private final String key;

    public Caller(String key) {
        this.key = key;
    }

    /** Sends a chat completion request. An empty id sends no {@code Idempotency-Key} header. */
    public Response chat(String base, String model, String prompt, int maxTokens, boolean stream, String id)
            throws FleetException {
        String body = "{\"model\":\"" + model + "\",\"stream\":" + stream + ",\"max_tokens\":" + maxTokens
                + ",\"messages\":[{\"role\":\"user\",\"content\":\"" + prompt + "\"}]}";
        return post(base + "/v1/chat/completions", body, id);
    }

    public Response post(String url, String body, String id) throws FleetException {
        HttpRequest.Builder request = HttpRequest.newBuilder(URI.create(url))
                .timeout(TIMEOUT)
                .header("Authorization", "Bearer " + key)
                .header("Content-Type", "application/json")
                .POST(HttpRequest.BodyPublishers.ofString(body));
        if (!id.isEmpty()) {
            request.header("Idempotency-Key", id);
        }
        return send(request.build());
    }

    public Response get(String url) throws FleetException {
        return send(HttpRequest.newBuilder(URI.create(url))
                .timeout(TIMEOUT)
                .header("Authorization", "Bearer " + key)
                .GET()
                .build());
    }

    /** Returns the underlying HTTP client, for measurements that read the body as a stream. */
    public HttpClient http() {
        return http;
    }

    private Response send(HttpRequest request) throws FleetException {
        try {
            HttpResponse<String> r = http.send(request, HttpResponse.BodyHandlers.ofString());
            return new Response(r.statusCode(), r.body(), r.headers());
        } catch (IOException e) {
            return new Response(0, String.valueOf(e.getMessage()), NO_HEADERS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new FleetException("interrupted", e);
        }
    }
}
