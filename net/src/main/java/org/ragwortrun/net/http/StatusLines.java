package org.ragwortrun.net.http;

import java.util.regex.Pattern;

/** Checks status lines of HTTP/1, and finds them within text. */
public final class StatusLines {
    // As lenient as HTTP parsers about case and spaces. In a Via header, an address may follow the protocol.
    private static final Pattern STATUS_LINE =
            Pattern.compile("HTTP/\\d+\\.\\d+\\s+\\d{3}(?:\\s|$)", Pattern.CASE_INSENSITIVE);

    private static final Pattern VERSION = Pattern.compile("HTTP/1\\.[01]");
    private static final Pattern CODE = Pattern.compile("[1-5]\\d{2}");
    private static final Pattern WELL_FORMED = Pattern.compile(VERSION.pattern() + " " + CODE.pattern() + "(?: .*)?");

    private StatusLines() {}

    /**
     * Returns whether a line, without its line end, is a status line of HTTP/1.0 or HTTP/1.1 whose code has three digits
     * from 100 to 599. Parsers of libraries accept other numbers and signs.
     */
    public static boolean isWellFormed(String line) {
        return WELL_FORMED.matcher(line).matches();
    }

    /** Returns whether the parts of a status line have the form that {@link #isWellFormed} requires. */
    public static boolean areWellFormed(String version, String code) {
        return VERSION.matcher(version).matches() && CODE.matcher(code).matches();
    }

    /**
     * Returns whether a reason phrase, header name or header value contains the beginning of a status line.
     *
     * <p>It does if an endpoint broke off an answer within that text and wrote another answer on the same connection.
     */
    public static boolean isIn(String text) {
        return text.indexOf('/') >= 0 && STATUS_LINE.matcher(text).find();
    }
}
