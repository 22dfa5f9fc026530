package org.ragwortrun.agent.internal;

import java.time.Duration;

/** Estimates the queue wait of a request from the run times of recent requests. */
final class WaitEstimator {
    private static final double SMOOTHING_WEIGHT = 0.1;
    private static final Duration MIN_RETRY_AFTER = Duration.ofMillis(100);
    private static final Duration MAX_RETRY_AFTER = Duration.ofSeconds(10);

    private double meanRunNanos;

    void recordRunTime(long nanos) {
        meanRunNanos = meanRunNanos == 0 ? nanos : meanRunNanos + SMOOTHING_WEIGHT * (nanos - meanRunNanos);
    }

    /** Returns the estimated wait behind a number of queued requests. */
    Duration estimateWait(int waiting, int slots) {
        return Duration.ofNanos((long) (meanRunNanos * waiting / Math.max(1, slots)));
    }

    /** Returns the delay after which a refused caller should retry. */
    Duration retryAfter(int waiting, int slots) {
        Duration wait = estimateWait(waiting + 1, slots);
        if (wait.compareTo(MIN_RETRY_AFTER) < 0) {
            return MIN_RETRY_AFTER;
        }
        return wait.compareTo(MAX_RETRY_AFTER) > 0 ? MAX_RETRY_AFTER : wait;
    }
}
