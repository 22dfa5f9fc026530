package org.ragwortrun.router.internal.forward;

import io.netty.handler.codec.http.HttpResponse;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Time for which a connection may be reused after an answer. */
final class KeepAliveTime {
    private static final Pattern TIMEOUT = Pattern.compile("timeout=(\\d+)");
    private static final long SECOND_NANOS = 1_000_000_000L;
    /** Time in nanoseconds if the endpoint names none. */
    static final long DEFAULT_NANOS = 4 * SECOND_NANOS;
    // Reuse stops this long before the endpoint closes the connection, so that no request is sent as it closes.
    private static final long CLOSE_MARGIN_NANOS = 700_000_000L;

    private KeepAliveTime() {}

    /** Returns for how long after an answer its connection may be reused, in nanoseconds. */
    static long nanos(HttpResponse answer) {
        String text = answer.headers().get("Keep-Alive");
        Matcher m = TIMEOUT.matcher(text == null ? "" : text);
        long idle = m.find() ? Long.parseLong(m.group(1)) * SECOND_NANOS : DEFAULT_NANOS;
        return idle - Math.min(CLOSE_MARGIN_NANOS, idle / 2);
    }
}
