package org.ragwortrun.routing;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.DoubleSupplier;

/**
 * Permits of one router that cannot ask a coordinator: its share of each bound, at regular times from a random start on.
 * Not thread-safe. Times are monotonic nanoseconds.
 */
public final class FallbackPermits {
    private static final double UNREACHABLE_SHARE = 0.5;
    // Each router probes an endpoint with a ramp about as often as it would probe an excluded one.
    private static final double PROBES_PER_SECOND = 1;
    private static final long UNREACHABLE_WAIT_NANOS = 250_000_000L;

    private final DoubleSupplier random;
    private final Schedules limits = new Schedules();
    private final Schedules ramps = new Schedules();

    /**
     * Creates permits.
     *
     * @param random random numbers from 0 (inclusive) to 1 (exclusive)
     */
    public FallbackPermits(DoubleSupplier random) {
        this.random = random;
    }

    /** Schedules by endpoint, the least recently used of which are removed. */
    private static final class Schedules extends LinkedHashMap<String, PermitSchedule> {
        private static final long serialVersionUID = 1L;
        // Several times the number of endpoints of the largest fleet.
        private static final int MAX_ENDPOINTS = 4_096;

        Schedules() {
            super(16, 0.75f, true);
        }

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, PermitSchedule> eldest) {
            return size() > MAX_ENDPOINTS;
        }
    }

    /**
     * Permits for some requests.
     *
     * @param granted number of permits, at most as many as were wanted
     * @param waitNanos time after which to ask again if fewer were granted
     */
    public record Granted(int granted, long waitNanos) {}

    /**
     * Takes permits.
     *
     * @param routers number of routers that share each bound
     * @param anyCoordinator whether there is a coordinator, which may grant permits to others
     */
    public Granted take(
            String endpoint, EndpointLimit limit, int wanted, int routers, boolean anyCoordinator, long now) {
        RampView ramp = limit.ramp();
        ramp.onNoCoordinator();
        if (!limit.needsPermit(now)) {
            return new Granted(wanted, 0);
        }
        double perSecond = limit.limit()
                .map(s -> s.usablePerSecond() / Math.max(1, routers) * (anyCoordinator ? UNREACHABLE_SHARE : 1))
                .orElse(Double.POSITIVE_INFINITY);
        if (ramp.isCold(now)) {
            double part = anyCoordinator ? ColdShares.UNREACHABLE : ColdShares.NO_COORDINATOR;
            perSecond = Math.min(perSecond, ramp.warmUp().perSecond() / Math.max(1, routers) * part);
        } else if (ramp.isFollowing()) {
            perSecond = Math.min(perSecond, PROBES_PER_SECOND);
        }
        return take(schedule(endpoint, ramp.needsPermit(now), perSecond, now), perSecond, wanted, anyCoordinator, now);
    }

    private PermitSchedule schedule(String endpoint, boolean ramp, double perSecond, long now) {
        return ramp
                ? ramps.computeIfAbsent(
                        endpoint,
                        e -> new PermitSchedule(perSecond, ColdShares.VALIDITY_NANOS, random.getAsDouble(), now))
                : limits.computeIfAbsent(endpoint, e -> new PermitSchedule(perSecond, random.getAsDouble(), now));
    }

    private static Granted take(
            PermitSchedule schedule, double perSecond, int wanted, boolean anyCoordinator, long now) {
        int granted = 0;
        while (granted < wanted && schedule.tryTake(perSecond, now)) {
            granted++;
        }
        long wait = schedule.nanosUntilNext(perSecond, now);
        return new Granted(granted, anyCoordinator ? Math.min(UNREACHABLE_WAIT_NANOS, wait) : wait);
    }
}
