package org.ragwortrun.routing;

/**
 * Issues permits at a rate and keeps a few that were not used.
 *
 * <p>A bucket begins empty, because it is not known how many requests were sent before. Times are monotonic
 * nanoseconds.
 */
public final class PermitBucket {
    private static final double SECOND_NANOS = 1e9;
    // A router that may ask again does not always have a request at that moment.
    private static final double MIN_CAPACITY = 2;
    private static final double CAPACITY_SECONDS = 0.25;

    private final double maxCapacity;
    private double perSecond;
    private double level;
    private long updatedNanos;

    /** Creates an empty bucket. */
    public PermitBucket(double perSecond, long now) {
        this(perSecond, Double.POSITIVE_INFINITY, now);
    }

    /** Creates an empty bucket that keeps no more than a number of unused permits, whatever its rate. */
    public PermitBucket(double perSecond, double maxCapacity, long now) {
        this.perSecond = perSecond;
        this.maxCapacity = maxCapacity;
        updatedNanos = now;
    }

    /** Changes the rate from now on. */
    public void setRate(double nextPerSecond, long now) {
        update(now);
        perSecond = nextPerSecond;
    }

    /** Takes one permit, in advance if there is none. */
    public void take(long now) {
        update(now);
        level--;
    }

    /** Takes one permit. Returns whether there was one. */
    public boolean tryTake(long now) {
        update(now);
        if (level < 1) {
            return false;
        }
        level--;
        return true;
    }

    /** Returns the number of whole permits that are available. */
    public int available(long now) {
        update(now);
        return (int) level;
    }

    /** Returns the time until a number of permits has been available, 0 if they are now. */
    public long nanosUntil(int permits, long now) {
        update(now);
        return level >= permits ? 0 : (long) Math.ceil((permits - level) * SECOND_NANOS / perSecond);
    }

    private void update(long now) {
        double capacity = Math.min(maxCapacity, Math.max(MIN_CAPACITY, perSecond * CAPACITY_SECONDS));
        double elapsed = Math.max(0, now - updatedNanos) / SECOND_NANOS;
        level = Math.min(capacity, level + elapsed * perSecond);
        updatedNanos = now;
    }
}
