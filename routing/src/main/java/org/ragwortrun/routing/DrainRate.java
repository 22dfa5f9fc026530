package org.ragwortrun.routing;

/**
 * Measures how many waiting requests per second leave a queue because an endpoint has room.
 *
 * <p>Only time in which requests wait counts, because the rate of an empty queue says nothing about capacity. Before
 * there is evidence, the rate follows from the running requests and their usual duration. Times are monotonic
 * nanoseconds.
 */
public final class DrainRate {
    private static final double SECOND_NANOS = 1e9;
    // Long enough for some dozens of requests of a plain service, short enough to follow an endpoint that becomes slow.
    private static final double MEMORY_SECONDS = 1;
    // Weight of the estimate from the running requests, as time of measurement.
    private static final double PRIOR_SECONDS = 0.2;

    private double served;
    private double seconds;
    private long updatedNanos;

    /** Creates a rate without evidence. */
    public DrainRate(long now) {
        updatedNanos = now;
    }

    /**
     * Accounts for the time since the last call.
     *
     * @param waiting whether requests have waited since then
     */
    public void update(boolean waiting, long now) {
        double elapsed = Math.max(0, now - updatedNanos) / SECOND_NANOS;
        updatedNanos = now;
        double kept = Math.exp(-elapsed / MEMORY_SECONDS);
        served *= kept;
        seconds = seconds * kept + (waiting ? MEMORY_SECONDS * (1 - kept) : 0);
    }

    /** Records that a request that waited was sent. */
    public void onServed() {
        served++;
    }

    /**
     * Returns the requests per second.
     *
     * @param running requests of this router that run at the endpoints
     * @param durationNanos their mean duration
     */
    public double perSecond(int running, double durationNanos) {
        double prior = Math.max(1, running) * SECOND_NANOS / Math.max(1, durationNanos);
        return (served + prior * PRIOR_SECONDS) / (seconds + PRIOR_SECONDS);
    }
}
