package org.ragwortrun.routing;

import java.util.Optional;

/**
 * What one router knows about the ramp of an endpoint, and the answers that it has not reported yet.
 *
 * <p>All routers hold the warm-up rate of a cold endpoint. Only those that follow ramps also hold the rate of an endpoint
 * that has started or failed and is not cold. Times are monotonic nanoseconds.
 */
public final class RampView {
    // Without a coordinator, an endpoint that has answered so many requests in a row has recovered.
    private static final int GOOD_ANSWERS = 4;
    private static final long REPORT_INTERVAL_NANOS = 500_000_000L;

    private final boolean followsRamps;
    private final WarmUp warmUp = new WarmUp();
    private boolean following;
    private long followedNanos;
    private double perSecond = EndpointRamp.START_PER_SECOND;
    private int good;
    private int bad;
    private int goodInRow;
    private long reportedNanos;

    RampView(boolean followsRamps) {
        this.followsRamps = followsRamps;
    }

    public WarmUp warmUp() {
        return warmUp;
    }

    /** Records that the endpoint has started or failed, so that it gets few requests at first. */
    public void onStartOrFailure(long now) {
        if (followsRamps) {
            perSecond = following ? perSecond : EndpointRamp.START_PER_SECOND;
            following = true;
            followedNanos = now;
        }
    }

    /** Counts an answer or a failed connection for the next report, if there is a ramp. */
    public void count(boolean isGood, long now) {
        if (needsPermit(now)) {
            good += isGood ? 1 : 0;
            bad += isGood ? 0 : 1;
            goodInRow = isGood ? goodInRow + 1 : 0;
        } else {
            takeCounts();
            goodInRow = 0;
        }
    }

    /** Returns the answers that were not reported yet and counts them as reported. */
    public AnswerCounts takeCounts() {
        AnswerCounts counts = new AnswerCounts(good, bad);
        good = 0;
        bad = 0;
        return counts;
    }

    /** Returns whether a failure should be reported now. Failures that follow soon are reported with the next request. */
    public boolean tryReport(long now) {
        boolean due = needsPermit(now) && (reportedNanos == 0 || now - reportedNanos >= REPORT_INTERVAL_NANOS);
        reportedNanos = due ? now : reportedNanos;
        return due;
    }

    public boolean isCold(long now) {
        return warmUp.isCold(now);
    }

    /** Returns whether the router follows a ramp of the endpoint, which may be cold as well. */
    public boolean isFollowing() {
        return following;
    }

    /** Returns whether a request to the endpoint needs a permit. */
    public boolean needsPermit(long now) {
        return following || isCold(now);
    }

    /** Returns what this router tells a coordinator, if it knows of a ramp. */
    public Optional<RampReport> report(long now) {
        if (!needsPermit(now)) {
            return Optional.empty();
        }
        boolean cold = isCold(now);
        return Optional.of(new RampReport(
                following ? perSecond : 0, cold ? warmUp.perSecond() : 0, cold ? warmUp.ownColdMs(now) : 0));
    }

    /**
     * Records what a coordinator knows.
     *
     * @param report the ramp in force, or empty if there is none
     * @param askedNanos time at which the coordinator was asked. It may not know yet what happened since
     */
    public void onReported(Optional<RampReport> report, long askedNanos, long now) {
        if (report.isPresent()) {
            warmUp.onReported(report.get().warmUpMs(), now);
            perSecond = report.get().perSecond();
            if (followsRamps && !following) {
                following = true;
                followedNanos = askedNanos;
            }
        } else if (following && askedNanos - followedNanos >= 0) {
            following = false;
        }
    }

    /** Ends the ramp, while no coordinator can be asked, if the endpoint has answered well. */
    void onNoCoordinator() {
        if (goodInRow >= GOOD_ANSWERS) {
            following = false;
        }
    }
}
