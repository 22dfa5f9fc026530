package org.ragwortrun.routing;

import java.util.Optional;

/** Ramp of one endpoint at its coordinator, the permits by it, and what the coordinator has told about it. */
final class CoordinatedRamp {
    // Routers estimate the remaining time differently, so small differences are no news.
    private static final long MIN_EXTENSION_NANOS = 500_000_000L;

    private final EndpointRamp ramp = new EndpointRamp();
    private final PermitBucket bucket;
    private boolean announced;
    private double announcedPerSecond;
    private long announcedColdUntilNanos;

    CoordinatedRamp(long now) {
        bucket = new PermitBucket(0, ColdShares.MAX_UNUSED, now);
    }

    void onReport(RampReport report, AnswerCounts answers, long now) {
        ramp.onReport(report, answers, now);
    }

    /** Returns the ramp if it is in force. */
    Optional<RampReport> inForce(long now) {
        return ramp.isInForce(now) ? Optional.of(ramp.report(now)) : Optional.empty();
    }

    /**
     * Returns the requests per second that the ramp permits, infinite without a bound.
     *
     * @param asking what the router knows that asks. One that suspects that the endpoint is cold gets permits at the
     *     warm-up rate without a ramp that binds others
     */
    double perSecond(Optional<RampReport> asking, double share, long now) {
        double perSecond = Double.POSITIVE_INFINITY;
        double suspected = asking.map(RampReport::warmUpPerSecond).orElse(0.0);
        if (ramp.isCold(now) || suspected > 0) {
            double cold = ramp.isCold(now) ? ramp.coldPerSecond(now) : suspected;
            perSecond = cold * ColdShares.ofCoordinator(share);
        }
        boolean follows = asking.filter(r -> r.perSecond() > 0).isPresent();
        return follows && ramp.isInForce(now) ? Math.min(perSecond, share * ramp.perSecond(now)) : perSecond;
    }

    PermitBucket bucket(double perSecond, long now) {
        bucket.setRate(perSecond, now);
        return bucket;
    }

    /** Returns the change since the previous call. */
    RampChange change(long now) {
        Optional<RampReport> current = inForce(now);
        if (current.isEmpty()) {
            RampChange change = announced ? RampChange.ENDED : RampChange.NONE;
            announced = false;
            return change;
        }
        long coldUntil = now + current.get().warmUpMs() * 1_000_000L;
        if (!announced) {
            announced = true;
            announcedColdUntilNanos = coldUntil;
            announcedPerSecond = current.get().perSecond();
            return RampChange.BEGUN;
        }
        if (current.get().warmUpMs() > 0 && coldUntil - announcedColdUntilNanos >= MIN_EXTENSION_NANOS) {
            announcedColdUntilNanos = coldUntil;
            return RampChange.EXTENDED;
        }
        boolean changed = current.get().perSecond() != announcedPerSecond;
        announcedPerSecond = current.get().perSecond();
        return changed ? RampChange.RATE : RampChange.NONE;
    }
}
