package org.ragwortrun.routing;

/**
 * Spaces the requests of one of several routers that share a limit and cannot ask a coordinator.
 *
 * <p>Permits become available at regular times from a random start on and expire when they are not used, so that
 * routers that had no requests for a while do not all send one at the same moment. Times are monotonic nanoseconds.
 */
public final class PermitSchedule {
    private static final double SECOND_NANOS = 1e9;
    private static final long VALIDITY_NANOS = 1_000_000_000L;

    private final long validityNanos;
    private long nextNanos;

    /**
     * Creates a schedule.
     *
     * @param random random number from 0 to 1, exclusive, for the time of the first permit
     */
    public PermitSchedule(double perSecond, double random, long now) {
        this(perSecond, VALIDITY_NANOS, random, now);
    }

    /**
     * Creates a schedule.
     *
     * @param validityNanos time after which a permit that was not used expires
     * @param random random number from 0 to 1, exclusive, for the time of the first permit
     */
    public PermitSchedule(double perSecond, long validityNanos, double random, long now) {
        this.validityNanos = validityNanos;
        nextNanos = now + (long) (random * periodNanos(perSecond));
    }

    /** Takes one permit. Returns whether there was one. */
    public boolean tryTake(double perSecond, long now) {
        if (nanosUntilNext(perSecond, now) > 0) {
            return false;
        }
        nextNanos += periodNanos(perSecond);
        return true;
    }

    /** Returns the time until the next permit, 0 if there is one. */
    public long nanosUntilNext(double perSecond, long now) {
        long period = periodNanos(perSecond);
        nextNanos = Math.min(nextNanos, now + period);
        long expired = now - validityNanos - nextNanos;
        if (expired > 0) {
            nextNanos += (expired + period - 1) / period * period;
        }
        return Math.max(0, nextNanos - now);
    }

    private static long periodNanos(double perSecond) {
        return (long) Math.max(1, SECOND_NANOS / perSecond);
    }
}
