package org.ragwortrun.measure.config;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.time.Duration;

/** HTTP client of one probe for one router. Its requests are created by one thread. */
final class ProbeClient {
    private static final Duration TIMEOUT = Duration.ofSeconds(6);

    private final HttpClient http = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(TIMEOUT)
            .build();
    private final String name;
    private final String base;
    private long requests;

    /**
     * Creates a client.
     *
     * @param name name that no other probe has
     * @param base address of the router
     */
    ProbeClient(String name, String base) {
        this.name = name;
        this.base = base;
    }

    HttpClient http() {
        return http;
    }

    /** Returns a request with an id of its own. */
    HttpRequest.Builder request(String path) {
        requests++;
        return HttpRequest.newBuilder(URI.create(base + path))
                .timeout(TIMEOUT)
                .header("X-Request-Id", name + "-" + requests);
    }
}
