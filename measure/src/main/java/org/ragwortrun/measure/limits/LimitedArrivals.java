package org.ragwortrun.measure.limits;

import java.util.ArrayList;
import java.util.List;

/** Requests that reached one endpoint, compared with what its limit allows. */
final class LimitedArrivals {
    private static final long WINDOW_MICROS = 4_000_000;
    private static final double WINDOW_SECONDS = 4;
    // The operators tolerate half of the limit and some requests more, three seconds after the limit was first named.
    private static final double TOLERATED_FACTOR = 1.5;
    private static final int TOLERATED_REQUESTS = 5;
    private static final long SETTLE_MICROS = 3_000_000;

    private final List<Arrival> arrivals = new ArrayList<>();

    /** A request, the time since the limit was first named, the limit, and whether its router knew of the limit. */
    private record Arrival(long sinceMicros, double perSecond, boolean told) {}

    void add(long sinceMicros, double perSecond, boolean told) {
        arrivals.add(new Arrival(sinceMicros, perSecond, told));
    }

    /** Returns the number of requests while there was a limit. */
    long count() {
        return arrivals.stream().filter(a -> Double.isFinite(a.perSecond)).count();
    }

    /** Returns the largest share of the tolerated number of requests in a window, of routers that knew of the limit. */
    double mostOfTolerated() {
        List<Arrival> counted = arrivals.stream()
                .filter(a -> a.told && a.sinceMicros >= SETTLE_MICROS && Double.isFinite(a.perSecond))
                .toList();
        double most = 0;
        int end = 0;
        for (int begin = 0; begin < counted.size(); begin++) {
            long windowEnd = counted.get(begin).sinceMicros + WINDOW_MICROS;
            while (end < counted.size() && counted.get(end).sinceMicros < windowEnd) {
                end++;
            }
            double highest = counted.subList(begin, end).stream()
                    .mapToDouble(Arrival::perSecond)
                    .max()
                    .orElse(0);
            double tolerated = Math.floor(TOLERATED_FACTOR * WINDOW_SECONDS * highest + TOLERATED_REQUESTS);
            most = Math.max(most, (end - begin) / tolerated);
        }
        return most;
    }
}
