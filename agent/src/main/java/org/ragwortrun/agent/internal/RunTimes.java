package org.ragwortrun.agent.internal;

import java.time.Duration;

/** Forecasts how long a request waits, from how long recent requests ran. */
final class RunTimes {
    private static final double WEIGHT = 0.1;
    private static final Duration SHORTEST = Duration.ofMillis(100);
    private static final Duration LONGEST = Duration.ofSeconds(10);

    private double meanNanos;

    void ran(long nanos) {
        meanNanos = meanNanos == 0 ? nanos : meanNanos + WEIGHT * (nanos - meanNanos);
    }

    /** Returns the forecast wait behind so many requests. */
    Duration waitBehind(int waiting, int slots) {
        return Duration.ofNanos((long) (meanNanos * waiting / Math.max(1, slots)));
    }

    /** Returns when a refused caller should come back. */
    Duration retryAfter(int waiting, int slots) {
        Duration wait = waitBehind(waiting + 1, slots);
        if (wait.compareTo(SHORTEST) < 0) {
            return SHORTEST;
        }
        return wait.compareTo(LONGEST) > 0 ? LONGEST : wait;
    }
}
