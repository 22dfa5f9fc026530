package org.ragwortrun.router.internal.forward;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.Map;
import java.util.regex.Pattern;

/**
 * Detects heads and trailers that consist of parts of two answers.
 *
 * <p>If an endpoint breaks off an answer within its head or trailers and writes another one on the same connection, a
 * decoder reads the status line of the second as the rest of a line of the first.
 */
final class JoinedAnswers {
    // As lenient as the decoder about spaces. A name of a protocol may be followed by an address.
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/\\d\\.\\d\\s+\\d{3}(?:\\s|$)");

    private final RequestHeaders headers;

    JoinedAnswers(RequestHeaders headers) {
        this.headers = headers;
    }

    /** Returns whether a head contains a second status line, request id or proof. */
    boolean isJoined(HttpResponse head) {
        return containsStatusLine(head.status().reasonPhrase())
                || containsStatusLineInValue(head.headers())
                || headers.repeatsIdOrProof(head.headers());
    }

    /** Returns whether the trailers of an answer contain the status line of another. */
    boolean isJoined(LastHttpContent end) {
        return containsStatusLineInValue(end.trailingHeaders());
    }

    // A loop, because this runs for each answer.
    private static boolean containsStatusLineInValue(HttpHeaders fields) {
        for (Map.Entry<String, String> e : fields) {
            if (containsStatusLine(e.getValue())) {
                return true;
            }
        }
        return false;
    }

    private static boolean containsStatusLine(String text) {
        return text.contains("HTTP/") && STATUS_LINE.matcher(text).find();
    }
}
