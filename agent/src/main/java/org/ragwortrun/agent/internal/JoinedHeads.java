package org.ragwortrun.agent.internal;

import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.ProtocolException;
import org.jspecify.annotations.Nullable;
import org.ragwortrun.net.http.StatusLines;

/**
 * Rejects heads that consist of parts of two answers.
 *
 * <p>If an endpoint breaks off an answer within its head and writes another one on the same connection, the parser reads
 * the status line of the second as the rest of a line of the first, or, if it contains a colon, as a header.
 */
final class JoinedHeads {
    private JoinedHeads() {}

    /**
     * Checks the head of an answer or of an interim response.
     *
     * @throws ProtocolException if the head contains a second status line
     */
    static void reject(HttpResponse head) throws ProtocolException {
        boolean joined = containsStatusLine(head.getReasonPhrase());
        for (Header h : head.getHeaders()) {
            joined |= containsStatusLine(h.getName()) || containsStatusLine(h.getValue());
        }
        if (joined) {
            throw new ProtocolException("joined-answers");
        }
    }

    private static boolean containsStatusLine(@Nullable String text) {
        return text != null && StatusLines.isIn(text);
    }
}
