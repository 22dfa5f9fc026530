package org.ragwortrun.routing;

import java.time.Duration;
import java.util.function.DoubleSupplier;

/**
 * Computes when the caller of a refused request should retry.
 *
 * <p>The earliest time is when the requests that wait now have been sent. Callers are spread over an interval after it
 * that is long enough for those who are due to return, at the measured rate, so that they do not wait again. Callers
 * honor a time only up to a third of what remains to them, so the interval is compressed into that third.
 */
public final class RetryAfterPolicy {
    private static final double SECOND_NANOS = 1e9;
    // A caller opens a new connection, which the load balancer assigns to another router.
    private static final Duration ELSEWHERE = Duration.ofMillis(50);
    private static final double MIN_SPREAD_NANOS = 100e6;
    private static final double MAX_NANOS = 5e9;
    private static final double MAX_PART_OF_REMAINING = 1.0 / 3;
    // Part of a compressed interval over which callers are spread at least.
    private static final double MIN_SPREAD_PART = 0.5;

    private final DoubleSupplier random;

    /**
     * Creates a policy.
     *
     * @param random returns numbers from 0 (inclusive) to 1 (exclusive)
     */
    public RetryAfterPolicy(DoubleSupplier random) {
        this.random = random;
    }

    /**
     * State of the queue that refused the request.
     *
     * @param waiting requests that go before the caller's
     * @param returning callers that have been told to return and have not done so
     * @param perSecond requests that leave the queue per second
     */
    public record Backlog(int waiting, int returning, double perSecond) {}

    /**
     * Returns the time after which to retry, at most a third of the remaining time.
     *
     * @param remainingNanos time until the caller's deadline
     * @param roomElsewhere whether another router can probably serve the request now
     */
    public Duration retryAfter(Backlog backlog, long remainingNanos, boolean roomElsewhere) {
        double longest = Math.max(0, Math.min(MAX_NANOS, remainingNanos * MAX_PART_OF_REMAINING));
        if (roomElsewhere) {
            return Duration.ofNanos((long) Math.min(ELSEWHERE.toNanos(), longest));
        }
        double nanosEach = backlog.perSecond() > 0 ? SECOND_NANOS / backlog.perSecond() : MAX_NANOS;
        double earliest = Math.min(backlog.waiting() * nanosEach, longest * (1 - MIN_SPREAD_PART));
        double spread = Math.max(MIN_SPREAD_NANOS, (backlog.returning() + 1) * nanosEach);
        double latest = Math.min(earliest + spread, longest);
        return Duration.ofNanos((long) (earliest + random.getAsDouble() * Math.max(0, latest - earliest)));
    }
}
