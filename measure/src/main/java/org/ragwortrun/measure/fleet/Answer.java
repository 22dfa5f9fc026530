package org.ragwortrun.measure.fleet;

import java.net.http.HttpHeaders;

/** An HTTP answer as a caller sees it. A status of 0 means that the connection failed. */
public record Answer(int status, String body, HttpHeaders headers) {
    public String header(String name) {
        return headers.firstValue(name).orElse("");
    }
}
