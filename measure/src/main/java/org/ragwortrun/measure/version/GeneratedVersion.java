package org.ragwortrun.measure.version;

import org.apache.commons.rng.UniformRandomProvider;

/**
 * A generated new version with its fault, if any.
 *
 * @param kind kind of fault
 * @param failureRate chance that a request which meets the fault fails
 * @param slowdown factor on the latency of a request which meets the fault
 * @param beginsAt part of the move's duration after which a late fault begins
 * @param route route that a fault on one route concerns
 */
record GeneratedVersion(FaultKind kind, double failureRate, double slowdown, double beginsAt, int route) {
    private static final int HIGH_LOAD = 2;

    static GeneratedVersion random(FaultKind kind, int routes, UniformRandomProvider rng) {
        double failureRate = kind == FaultKind.NONE || kind.isSlow() ? 0 : 0.15 + 0.85 * rng.nextDouble();
        double slowdown = kind.isSlow() ? 1.6 + 3 * rng.nextDouble() : 1;
        return new GeneratedVersion(kind, failureRate, slowdown, 0.1 + 0.8 * rng.nextDouble(), rng.nextInt(routes));
    }

    /** Returns whether a request meets the fault. */
    boolean shows(double partOfMove, int loadBand, int requestRoute) {
        return kind != FaultKind.NONE
                && (!kind.isLate() || partOfMove >= beginsAt)
                && (kind != FaultKind.FAILS_UNDER_LOAD || loadBand == HIGH_LOAD)
                && (!kind.isOnOneRoute() || requestRoute == route);
    }
}
