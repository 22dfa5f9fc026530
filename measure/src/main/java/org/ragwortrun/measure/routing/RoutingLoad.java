package org.ragwortrun.measure.routing;

import java.util.List;

/**
 * A load on one origin and the endpoints that serve it.
 *
 * @param model whether the endpoints read prompts; otherwise each request occupies a slot for some time
 * @param speeds relative speed of each endpoint
 * @param kvTokens tokens for which each endpoint has memory, in the order of the endpoints
 * @param slots requests that an endpoint runs at a time
 * @param queue requests that wait at an endpoint before it rejects more
 * @param routerRates requests per second of each router
 * @param sharedParts number of shared parts of prompts; the first one is used by {@code hotShare} of the requests
 * @param hotShare share of the requests that use the first shared part
 * @param goalMs longest time to the first event that counts as served
 * @param seconds length of the load
 * @param disturbance change of one endpoint
 * @param sharing how routers share what they have learned
 */
public record RoutingLoad(
        boolean model,
        List<Double> speeds,
        List<Long> kvTokens,
        int slots,
        int queue,
        List<Double> routerRates,
        int sharedParts,
        double hotShare,
        double goalMs,
        int seconds,
        Disturbance disturbance,
        Sharing sharing) {
    /** No endpoint changes. */
    public static final Disturbance NONE = new Disturbance(0, 0, 0, 1, false);

    /**
     * An endpoint that is slower for some time.
     *
     * @param endpoint number of the endpoint
     * @param fromMs start
     * @param toMs end
     * @param slowdown factor of its times
     * @param restarts whether another incarnation serves from the end on
     */
    public record Disturbance(int endpoint, long fromMs, long toMs, double slowdown, boolean restarts) {
        boolean isActive(long atMs) {
            return atMs >= fromMs && atMs < toMs;
        }
    }

    /** How routers share what they have learned. */
    public enum Sharing {
        /** Reports arrive. */
        ON_TIME,
        /** Reports arrive some seconds after they were sent. */
        LATE,
        /** No reports arrive. */
        MISSING,
        /** Reports name random speeds. */
        FALSE
    }

    /** Returns a load whose disturbance is another one. */
    public RoutingLoad with(Disturbance next) {
        return copy(kvTokens, next, sharing);
    }

    /** Returns a load whose routers share what they have learned in another way. */
    public RoutingLoad with(Sharing next) {
        return copy(kvTokens, disturbance, next);
    }

    /** Returns a load whose endpoints have other memory. */
    public RoutingLoad withKvTokens(List<Long> next) {
        return copy(next, disturbance, sharing);
    }

    private RoutingLoad copy(List<Long> nextKvTokens, Disturbance nextDisturbance, Sharing nextSharing) {
        return new RoutingLoad(
                model,
                speeds,
                nextKvTokens,
                slots,
                queue,
                routerRates,
                sharedParts,
                hotShare,
                goalMs,
                seconds,
                nextDisturbance,
                nextSharing);
    }
}
