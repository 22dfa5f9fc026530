package org.ragwortrun.router.internal.forward;

import java.time.Duration;
import java.util.Optional;

/**
 * Measures the latency of an answer that is used to compare versions of endpoints.
 *
 * <p>The engines of a new version have nothing cached yet, while those of the old version do. If a prompt shares parts
 * with others, the time to the first event depends on the cache, so the mean interval between the first events is used
 * instead. It is known before a long stream ends. Times are monotonic nanoseconds.
 */
final class AnswerLatency {
    /** Number of intervals between events over which the latency of a stream is averaged. */
    static final int EVENT_INTERVALS = 4;

    private final boolean sharesPrompt;
    private final long sentNanos;
    private long firstEventNanos;
    private int firstEvents;
    private boolean reported;

    /**
     * Creates the latency measurement of one attempt.
     *
     * @param sharesPrompt whether parts of the prompt may be cached
     * @param sentNanos time at which the request was sent
     */
    AnswerLatency(boolean sharesPrompt, long sentNanos) {
        this.sharesPrompt = sharesPrompt;
        this.sentNanos = sentNanos;
    }

    /** Records how many events have arrived so far. Returns the latency once, when it is known. */
    Optional<Duration> onEvents(int events, long now) {
        if (reported) {
            return Optional.empty();
        }
        if (!sharesPrompt) {
            return report(now - sentNanos);
        }
        if (firstEvents == 0) {
            firstEventNanos = now;
            firstEvents = events;
        }
        int intervals = events - firstEvents;
        return intervals < EVENT_INTERVALS ? Optional.empty() : report((now - firstEventNanos) / intervals);
    }

    /**
     * Records the end of the answer. Returns the time of the whole answer if no latency was reported before and the
     * prompt is not shared.
     */
    Optional<Duration> onEnd(long now) {
        return reported || sharesPrompt ? Optional.empty() : report(now - sentNanos);
    }

    private Optional<Duration> report(long nanos) {
        reported = true;
        return Optional.of(Duration.ofNanos(nanos));
    }
}
