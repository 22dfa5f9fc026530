package org.ragwortrun.router.internal.forward;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.Map;
import org.ragwortrun.net.http.StatusLines;

/**
 * Detects heads and trailers that consist of parts of two answers.
 *
 * <p>If an endpoint breaks off an answer within its head or trailers and writes another one on the same connection, a
 * decoder reads the status line of the second as the rest of a line of the first.
 */
final class JoinedAnswers {
    private final RequestHeaders headers;

    JoinedAnswers(RequestHeaders headers) {
        this.headers = headers;
    }

    /** Returns whether a head contains a second status line, or different request ids or proofs. */
    boolean isJoined(HttpResponse head) {
        return StatusLines.isIn(head.status().reasonPhrase())
                || containsStatusLineInValue(head.headers())
                || headers.namesSeveral(head.headers());
    }

    /** Returns whether the trailers of an answer contain the status line of another. */
    boolean isJoined(LastHttpContent end) {
        return containsStatusLineInValue(end.trailingHeaders());
    }

    // A loop, because this runs for each answer.
    private static boolean containsStatusLineInValue(HttpHeaders fields) {
        for (Map.Entry<String, String> e : fields) {
            if (StatusLines.isIn(e.getValue())) {
                return true;
            }
        }
        return false;
    }
}
