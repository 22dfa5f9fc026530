package org.ragwortrun.routing;

import java.util.OptionalLong;

/**
 * Decides for how long a request may wait for an endpoint.
 *
 * <p>A request that waits holds tokens of its account and memory, and its caller cannot retry elsewhere meanwhile. It is
 * therefore refused at once if the expected wait exceeds half of the time in which it can be sent, and otherwise given up
 * after half of its remaining time, unless the wait is expected to be longer.
 */
public final class WaitLimit {
    // Tokens that are held for longer are missed by other requests of the account.
    private static final long MAX_WAIT_NANOS = 3_000_000_000L;
    // The caller keeps as much time for a retry at another router. Accepting any wait that leaves time for the answer
    // served 0.78 instead of 0.85 of all requests in time in the replay of one loud account beside 23 quiet ones: the
    // queue
    // then grows until all are served just before their deadline.
    private static final double PART_OF_REMAINING = 0.5;
    // A wait that exceeds its estimate by half shows that the estimate was wrong.
    private static final double OVERRUN = 1.5;
    // The duration of requests of one route varies, so the mean may not exclude those with little time.
    private static final double MAX_SERVICE_PART = 0.5;

    // Most requests take no longer than this multiple of the mean.
    private static final double DURATION_MARGIN = 1.5;

    private WaitLimit() {}

    /**
     * Returns the longest wait after which a request can still be answered in time.
     *
     * @param leftNanos time until the deadline
     * @param usualNanos usual duration of such a request at an endpoint
     */
    public static long longestNanos(long leftNanos, long usualNanos) {
        long left = Math.max(0, leftNanos);
        return Math.min(
                MAX_WAIT_NANOS,
                left - Math.min((long) (DURATION_MARGIN * usualNanos), (long) (MAX_SERVICE_PART * left)));
    }

    /** Returns the time after which a request that waits is given up, or empty if it must be refused at once. */
    public static OptionalLong accept(long leftNanos, long usualNanos, double expectedNanos) {
        long longest = longestNanos(leftNanos, usualNanos);
        if (expectedNanos > PART_OF_REMAINING * longest || longest <= 0) {
            return OptionalLong.empty();
        }
        return OptionalLong.of(
                Math.min(longest, (long) Math.max(PART_OF_REMAINING * leftNanos, OVERRUN * expectedNanos)));
    }
}
