package org.ragwortrun.router.internal.flow;

import java.time.Duration;
import java.util.Optional;

/**
 * Measures the latency of an endpoint.
 *
 * <p>The latency is the time to the first chunk plus the time for 50 more tokens at the rate of the remaining chunks, so
 * that answers of different lengths are comparable. No latency is returned if a slow caller delayed the answer.
 */
final class LatencyMeter {
    private static final int REFERENCE_TOKENS = 50;

    private long sentAt;
    private long firstAt;
    private long lastAt;
    private long firstTokens;
    private long lastTokens;
    private boolean started;
    private boolean backpressured;

    void onSent(long nanos) {
        sentAt = nanos;
        started = false;
        backpressured = false;
    }

    void onChunk(long nanos, long outputTokens) {
        if (!started) {
            started = true;
            firstAt = nanos;
            firstTokens = outputTokens;
        }
        lastAt = nanos;
        lastTokens = outputTokens;
    }

    /** Called when the caller reads more slowly than the endpoint answers. */
    void onBackpressure() {
        backpressured = true;
    }

    Optional<Duration> latency(long nanos) {
        if (backpressured) {
            return Optional.empty();
        }
        if (!started) {
            return Optional.of(Duration.ofNanos(nanos - sentAt));
        }
        long tokens = lastTokens - firstTokens;
        long rest = tokens > 0 ? (lastAt - firstAt) / tokens * REFERENCE_TOKENS : 0;
        return Optional.of(Duration.ofNanos(firstAt - sentAt + rest));
    }
}
