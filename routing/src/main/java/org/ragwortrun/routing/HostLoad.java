package org.ragwortrun.routing;

import java.util.concurrent.TimeUnit;

/**
 * Measures the utilization of a host from counters that only grow, read at intervals.
 *
 * <p>Rates are smoothed over some hundred milliseconds: a single large request does not count as overload, and a lasting
 * overload shows within half a second. After a gap, such as a suspension of the process, the mean over the gap replaces
 * older values. Not thread-safe. Times are monotonic nanoseconds.
 */
public final class HostLoad {
    private static final double SECOND_NANOS = 1e9;
    // Covers several requests of a small host; a longer time delays the control of the load.
    private static final double SMOOTHING_NANOS = 200e6;
    private static final long MIN_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

    private final Capacity capacity;
    private HostUtilization utilization = HostUtilization.IDLE;
    private Counters latest;
    private long sampledNanos;

    /**
     * Capacity of a host.
     *
     * @param linkBytesPerSecond bytes per second in each direction, 0 if unknown
     * @param cores processor cores that the process may use, 0 if unknown
     */
    public record Capacity(double linkBytesPerSecond, double cores) {
        /** Returns whether any part is known. */
        public boolean isKnown() {
            return linkBytesPerSecond > 0 || cores > 0;
        }
    }

    /**
     * Totals since the start of the process.
     *
     * @param bytesIn bytes received, including the overhead of packets
     * @param bytesOut bytes sent, including the overhead of packets
     * @param processorNanos processor time of the process
     */
    public record Counters(long bytesIn, long bytesOut, long processorNanos) {}

    public HostLoad(Capacity capacity, Counters first, long now) {
        this.capacity = capacity;
        latest = first;
        sampledNanos = now;
    }

    /** Adds a reading of the counters. A reading that follows another one too closely is ignored. */
    public void sample(Counters next, long now) {
        long elapsed = now - sampledNanos;
        if (elapsed < MIN_INTERVAL_NANOS) {
            return;
        }
        double seconds = elapsed / SECOND_NANOS;
        double weight = 1 - Math.exp(-elapsed / SMOOTHING_NANOS);
        utilization = new HostUtilization(
                smooth(
                        utilization.in(),
                        part(next.bytesIn - latest.bytesIn, seconds * capacity.linkBytesPerSecond),
                        weight),
                smooth(
                        utilization.out(),
                        part(next.bytesOut - latest.bytesOut, seconds * capacity.linkBytesPerSecond),
                        weight),
                smooth(
                        utilization.processor(),
                        part(next.processorNanos - latest.processorNanos, elapsed * capacity.cores),
                        weight));
        latest = next;
        sampledNanos = now;
    }

    /** Returns the utilization at the latest reading. */
    public HostUtilization utilization() {
        return utilization;
    }

    /** Returns the time since the latest reading. */
    public long ageNanos(long now) {
        return now - sampledNanos;
    }

    private static double part(double used, double available) {
        return available > 0 ? Math.max(0, used) / available : 0;
    }

    private static double smooth(double before, double measured, double weight) {
        return before + weight * (measured - before);
    }
}
