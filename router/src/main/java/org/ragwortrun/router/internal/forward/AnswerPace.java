package org.ragwortrun.router.internal.forward;

import java.time.Duration;
import java.util.Optional;

/**
 * Decides which latency of an answer tells something about its endpoint's version, and when it is known.
 *
 * <p>The load it answers: a new version whose engines have nothing cached yet, beside old ones that have. Where a prompt
 * shares parts with others, the time to the first event depends on the cache, so the mean pause between the first events
 * counts instead. It is known before a long stream ends. Times are monotonic nanoseconds.
 */
final class AnswerPace {
    /** Pauses between events over which the pace of a stream is taken. */
    static final int PAUSES = 4;

    private final boolean sharesPrompt;
    private final long beganNanos;
    private long firstNanos;
    private int firstEvents;
    private boolean told;

    /**
     * Creates the pace of one attempt.
     *
     * @param sharesPrompt whether parts of the prompt may be cached
     * @param beganNanos time at which the request was sent
     */
    AnswerPace(boolean sharesPrompt, long beganNanos) {
        this.sharesPrompt = sharesPrompt;
        this.beganNanos = beganNanos;
    }

    /** Notes how many events have arrived so far. Returns the latency once, when it is known. */
    Optional<Duration> onEvents(int events, long now) {
        if (told) {
            return Optional.empty();
        }
        if (!sharesPrompt) {
            return tell(now - beganNanos);
        }
        if (firstEvents == 0) {
            firstNanos = now;
            firstEvents = events;
        }
        int pauses = events - firstEvents;
        return pauses < PAUSES ? Optional.empty() : tell((now - firstNanos) / pauses);
    }

    /** Notes the end of the answer. Returns the latency if it was not known before and the whole answer tells it. */
    Optional<Duration> onEnd(long now) {
        return told || sharesPrompt ? Optional.empty() : tell(now - beganNanos);
    }

    private Optional<Duration> tell(long nanos) {
        told = true;
        return Optional.of(Duration.ofNanos(nanos));
    }
}
