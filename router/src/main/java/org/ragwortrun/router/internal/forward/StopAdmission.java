package org.ragwortrun.router.internal.forward;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * Decides which requests a host still takes while it stops.
 *
 * <p>The load it answers: a stop under load, where a balancer turns away late and answers of a tenth of a second come
 * beside streams of several seconds. A request is taken if the slowest of the last ones on its route would have ended in
 * the time that is left. On a route without such requests, its whole time limit has to fit.
 */
final class StopAdmission {
    // A stop slows the others down, since they take over, and the last answers have to be written.
    private static final double SLOWER = 1.5;
    private static final long MARGIN_NANOS = Duration.ofMillis(300).toNanos();
    private static final int REMEMBERED = 64;
    private static final int FEWEST = 8;

    private final Map<String, Recent> routes = new HashMap<>();

    /** The times of the last requests of one route. */
    private static final class Recent {
        private final long[] tookNanos = new long[REMEMBERED];
        private int count;

        void add(long nanos) {
            tookNanos[count % REMEMBERED] = nanos;
            count++;
        }

        long slowest() {
            long most = 0;
            for (int i = 0; i < Math.min(count, REMEMBERED); i++) {
                most = Math.max(most, tookNanos[i]);
            }
            return most;
        }
    }

    /** Notes how long an answered request took. */
    void answered(String route, long tookNanos) {
        routes.computeIfAbsent(route, r -> new Recent()).add(tookNanos);
    }

    /** Tells whether a request would end in time. */
    boolean takes(String route, Duration timeout, long leftNanos) {
        Recent recent = routes.get(route);
        long expected = timeout.toNanos();
        if (recent != null && recent.count >= FEWEST) {
            expected = Math.min(expected, (long) (SLOWER * recent.slowest()));
        }
        return expected + MARGIN_NANOS <= leftNanos;
    }
}
