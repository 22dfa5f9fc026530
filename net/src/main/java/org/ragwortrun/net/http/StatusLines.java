package org.ragwortrun.net.http;

import java.util.regex.Pattern;

/** Finds status lines of HTTP/1 within text. */
public final class StatusLines {
    // As lenient as HTTP parsers about case and spaces. In a Via header, an address may follow the protocol.
    private static final Pattern STATUS_LINE =
            Pattern.compile("HTTP/\\d+\\.\\d+\\s+\\d{3}(?:\\s|$)", Pattern.CASE_INSENSITIVE);

    private StatusLines() {}

    /**
     * Returns whether a reason phrase, header name or header value contains the beginning of a status line.
     *
     * <p>It does if an endpoint broke off an answer within that text and wrote another answer on the same connection.
     */
    public static boolean isIn(String text) {
        return text.indexOf('/') >= 0 && STATUS_LINE.matcher(text).find();
    }
}
