package org.ragwortrun.measure.answers;

import java.nio.charset.StandardCharsets;

/**
 * An answer as an endpoint writes it.
 *
 * @param id id of the request that it names, or empty for an interim answer
 * @param status status code
 * @param proof proof of this answer
 * @param notRun whether it states that the request did not run
 * @param framing how the body is delimited
 * @param stream whether the body is a stream of events
 * @param bodiless whether the body is left out, as in an answer to HEAD
 * @param body declared body
 */
record Answer(
        String id,
        int status,
        String proof,
        boolean notRun,
        Framing framing,
        boolean stream,
        boolean bodiless,
        String body) {
    boolean hasBody() {
        return !bodiless && status != 204 && status != 304 && status >= 200;
    }

    byte[] head() {
        StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " Status " + status + "\r\n");
        if (status >= 200) {
            head.append("Server: stand-in\r\n").append(notRun ? "Ragwortrun-Not-Run: 1\r\n" : "");
            head.append("X-Request-Id: " + id + "\r\nRagwortrun-Proof: " + proof + "\r\n");
            head.append(stream ? "Content-Type: text/event-stream\r\n" : "Content-Type: text/plain\r\n");
            head.append(
                    switch (framing) {
                        case LENGTH ->
                            status == 204 || status == 304 ? "" : "Content-Length: " + body.length() + "\r\n";
                        case CHUNKS -> status == 204 || status == 304 ? "" : "Transfer-Encoding: chunked\r\n";
                        case UNTIL_CLOSE -> "Connection: close\r\n";
                    });
        }
        return ascii(head.append("\r\n").toString());
    }

    byte[] bodyBytes() {
        if (!hasBody()) {
            return new byte[0];
        }
        if (framing != Framing.CHUNKS) {
            return ascii(body);
        }
        int middle = body.length() / 2;
        return ascii(chunk(body.substring(0, middle)) + chunk(body.substring(middle)) + "0\r\n\r\n");
    }

    private static String chunk(String data) {
        return data.isEmpty() ? "" : Integer.toHexString(data.length()) + "\r\n" + data + "\r\n";
    }

    private static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }
}
