package org.ragwortrun.router.internal.forward;

import java.util.LinkedHashMap;
import java.util.Map;
import org.ragwortrun.routing.AdmissionQueue;
import org.ragwortrun.routing.DrainRate;

/** Requests that wait for the endpoints of one origin, and what was measured of them. Used on the event loop only. */
final class OriginQueue {
    // Bounds the time to refuse all of them, and their log lines.
    private static final int MAX_REQUESTS = 1_024;
    // A twelfth of the smallest heap of a router; the limit of all callers' requests together applies as well.
    private static final long MAX_BYTES = 8L << 20;
    private static final int MAX_ROUTES = 256;
    // Assumed before the first answer: between the duration of a plain request and of the first event of a stream.
    private static final double DEFAULT_DURATION_NANOS = 100e6;
    private static final double SMOOTHING_WEIGHT = 0.125;

    private final AdmissionQueue<RequestWait> queue = new AdmissionQueue<>(MAX_REQUESTS, MAX_BYTES);
    private final DrainRate drain;
    private final Map<String, Double> durations = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Double> eldest) {
            return size() > MAX_ROUTES;
        }
    };
    private long closedUntilNanos;
    private boolean paced;
    private int freed;
    private double meanDurationNanos = DEFAULT_DURATION_NANOS;

    OriginQueue(long now) {
        closedUntilNanos = now;
        drain = new DrainRate(now);
    }

    AdmissionQueue<RequestWait> queue() {
        return queue;
    }

    /** Accounts for the time since the last change; called before each change of the queue. */
    void update(long now) {
        drain.update(!queue.isEmpty(), now);
    }

    void onServed() {
        drain.onServed();
    }

    /** Records that no endpoint is available to a request that was examined. */
    void onNoRoom(EndpointSelector.Choice choice, long now) {
        closedUntilNanos = choice.busy() == 0 ? choice.earliestNanos().orElse(now) : now;
        paced |= choice.limited();
    }

    /** Records that an attempt at an endpoint without a limit has ended. */
    void onAttemptEnded() {
        freed++;
    }

    /** Returns whether requests are sent one by one to endpoints without a limit, because others have one. */
    boolean isPaced() {
        paced &= !queue.isEmpty();
        return paced;
    }

    /**
     * Returns whether a request may be sent to an endpoint without a limit. Such an endpoint would otherwise receive the
     * whole queue in the moment in which it accepts a request, so each attempt that has ended allows one.
     */
    boolean tryTake(boolean endpointIsIdle) {
        if (!isPaced() || endpointIsIdle) {
            freed = 0;
            return true;
        }
        boolean taken = freed > 0;
        freed = Math.max(0, freed - 1);
        return taken;
    }

    /** Returns the time until which the endpoints want no request, not after {@code now} if they may accept one. */
    long closedUntilNanos() {
        return closedUntilNanos;
    }

    /** Records how long an endpoint took to answer a request completely. */
    void onAnswered(String route, long nanos) {
        durations.merge(route, (double) nanos, OriginQueue::smooth);
        meanDurationNanos = smooth(meanDurationNanos, nanos);
    }

    private static double smooth(double mean, double next) {
        return mean + (next - mean) * SMOOTHING_WEIGHT;
    }

    /** Returns how long the requests of a route usually take, 0 if it has had no answer. */
    long usualNanos(String route) {
        return durations.getOrDefault(route, 0.0).longValue();
    }

    /** Returns the requests per second that can leave the queue. */
    double perSecond(int running) {
        return drain.perSecond(running, meanDurationNanos);
    }
}
