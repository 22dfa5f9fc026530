package org.ragwortrun.router.internal.forward;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.ragwortrun.core.config.Forward;

/**
 * Decides which requests a host still accepts while it shuts down.
 *
 * <p>During a shutdown under load, a load balancer may keep sending requests for a while, and short answers of a tenth
 * of a second are mixed with streams of several seconds. A plain request that may be repeated is accepted if the slowest
 * of the recent requests on its route would have ended in the time that remains. On a route with too few recent requests,
 * and for all other requests, the whole time limit must fit, because another host can serve them, but a caller who is cut
 * off does not learn whether the request ran.
 */
final class ShutdownAdmission {
    // The remaining hosts are slower because they take over the load, and the last answers still have to be written.
    private static final double SLOWDOWN_FACTOR = 1.5;
    private static final long MARGIN_NANOS = Duration.ofMillis(300).toNanos();
    private static final int MAX_REMEMBERED = 64;
    private static final int MIN_REQUESTS = 8;

    private final Map<String, RecentDurations> routes = new HashMap<>();

    /** Durations of the latest requests of one route. */
    private static final class RecentDurations {
        private final long[] durationsNanos = new long[MAX_REMEMBERED];
        private int count;

        void add(long nanos) {
            durationsNanos[count % MAX_REMEMBERED] = nanos;
            count++;
        }

        long slowest() {
            long max = 0;
            for (int i = 0; i < Math.min(count, MAX_REMEMBERED); i++) {
                max = Math.max(max, durationsNanos[i]);
            }
            return max;
        }
    }

    /** Records the duration of an answered request. */
    void onAnswered(String route, long durationNanos) {
        routes.computeIfAbsent(route, r -> new RecentDurations()).add(durationNanos);
    }

    /**
     * Returns whether a request would end in time.
     *
     * @param timeLimit time after which the request is given up
     */
    boolean accepts(Forward route, Duration timeLimit, long remainingNanos) {
        RecentDurations recent = routes.get(route.name());
        long expected = timeLimit.toNanos();
        if (route.kind() == Forward.Kind.IDEMPOTENT && recent != null && recent.count >= MIN_REQUESTS) {
            expected = Math.min(expected, (long) (SLOWDOWN_FACTOR * recent.slowest()));
        }
        return expected + MARGIN_NANOS <= remainingNanos;
    }
}
