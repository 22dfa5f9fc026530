package org.ragwortrun.router.internal.flow;

import java.time.Duration;
import java.util.Optional;

/**
 * Measures how fast an endpoint answers.
 *
 * <p>The latency is the time to the first part, plus the time that 50 more tokens take at the pace of the rest, so that
 * answers of different lengths can be compared. There is none if the caller held the answer up.
 */
final class LatencyMeter {
    private static final int TOKENS = 50;

    private long sentAt;
    private long firstAt;
    private long lastAt;
    private long firstTokens;
    private long lastTokens;
    private boolean started;
    private boolean heldUp;

    void sent(long nanos) {
        sentAt = nanos;
        started = false;
        heldUp = false;
    }

    void part(long nanos, long outputTokens) {
        if (!started) {
            started = true;
            firstAt = nanos;
            firstTokens = outputTokens;
        }
        lastAt = nanos;
        lastTokens = outputTokens;
    }

    /** The caller reads more slowly than the endpoint answers. */
    void heldUp() {
        heldUp = true;
    }

    Optional<Duration> latency(long nanos) {
        if (heldUp) {
            return Optional.empty();
        }
        if (!started) {
            return Optional.of(Duration.ofNanos(nanos - sentAt));
        }
        long tokens = lastTokens - firstTokens;
        long rest = tokens > 0 ? (lastAt - firstAt) / tokens * TOKENS : 0;
        return Optional.of(Duration.ofNanos(firstAt - sentAt + rest));
    }
}
