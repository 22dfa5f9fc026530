package org.ragwortrun.measure.answers;

import java.util.Map;

/**
 * An answer as a caller read it.
 *
 * @param id id of the request
 * @param kind kind of the request
 * @param head whether the method was HEAD
 * @param status status code
 * @param headers headers with names in lower case
 * @param body body
 * @param whole whether the answer has a whole body
 */
record SeenAnswer(
        String id, Kind kind, boolean head, int status, Map<String, String> headers, String body, boolean whole) {
    boolean isSuccess() {
        return status >= 200 && status < 300;
    }

    String proof() {
        return headers.getOrDefault("ragwortrun-proof", "");
    }

    String answeredId() {
        return headers.getOrDefault("x-request-id", id);
    }
}
