package org.ragwortrun.measure.version;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.GaussianSampler;
import org.apache.commons.rng.sampling.distribution.NormalizedGaussianSampler;
import org.apache.commons.rng.sampling.distribution.PoissonSampler;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;

/** Generated requests of one service: arrivals, routes, load and the old version's behaviour. */
final class Traffic {
    static final String[] ROUTES = {"chat", "lookup", "guidance"};

    private static final double[] ROUTE_WEIGHTS = {0.6, 0.3, 0.1};
    private static final double LOG_LATENCY = Math.log(400_000);
    private static final double LOG_SIGMA = 0.5;
    private static final double LOAD_SLOWDOWN = 0.35;
    private static final double LOAD_PERIOD_S = 1_500;

    private final UniformRandomProvider rng;
    private final double ratePerSecond;
    private final double failureRate;
    private final double loadPhase;
    private final NormalizedGaussianSampler normal;

    Traffic(UniformRandomProvider rng, double ratePerSecond) {
        this.rng = rng;
        this.ratePerSecond = ratePerSecond;
        failureRate = 0.01 * rng.nextDouble();
        loadPhase = rng.nextDouble() * 2 * Math.PI;
        normal = ZigguratSampler.NormalizedGaussian.of(rng);
    }

    /** Returns the number of requests in a second; more arrive under high load. */
    int arrivals(long second) {
        return PoissonSampler.of(rng, Math.max(1e-9, ratePerSecond * (0.4 + 0.6 * load(second))))
                .sample();
    }

    /** Returns the load between 0 and 1. */
    double load(long second) {
        return 0.5 + 0.5 * Math.sin(loadPhase + 2 * Math.PI * second / LOAD_PERIOD_S);
    }

    int loadBand(long second) {
        return (int) Math.min(2, 3 * load(second));
    }

    int route() {
        double u = rng.nextDouble();
        int route = 0;
        while (route < ROUTE_WEIGHTS.length - 1 && u >= ROUTE_WEIGHTS[route]) {
            u -= ROUTE_WEIGHTS[route];
            route++;
        }
        return route;
    }

    boolean healthyFails() {
        return rng.nextDouble() < failureRate;
    }

    /** Returns the natural logarithm of a latency in microseconds. */
    double logLatency(long second, int route) {
        double sample = GaussianSampler.of(normal, LOG_LATENCY, LOG_SIGMA).sample();
        return sample + LOAD_SLOWDOWN * load(second) + 0.4 * route;
    }
}
