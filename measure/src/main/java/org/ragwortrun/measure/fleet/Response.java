package org.ragwortrun.measure.fleet;

import java.net.http.HttpHeaders;

/** An HTTP response as a caller receives it. A status of 0 means that the connection failed. */
public record Response(int status, String body, HttpHeaders headers) {
    public String header(String name) {
        return headers.firstValue(name).orElse("");
    }
}
