package org.ragwortrun.routing.version;

/**
 * Detects that the old version fails far more often than usual.
 *
 * <p>During such an outage a comparison is not conclusive, so the share of the new version must not increase.
 */
final class OutageDetector {
    // With intervals of 5 s, the weights of recent intervals add up to about one minute.
    private static final double DECAY = 11.0 / 12;
    private static final double MIN_RATE = 0.1;
    private static final double RATE_FACTOR = 3;
    // Failures in one interval that indicate an outage before the rate of the last minute does.
    private static final long BURST_FAILURES = 5;

    private Sample last = Sample.EMPTY;
    private double failures;
    private double requests = 1;
    private double recentFailures;
    private double recentRequests = 1;

    /** Adds one interval of the old version. */
    void add(Sample older) {
        last = older;
        recentFailures = recentFailures * DECAY + older.failures();
        recentRequests = recentRequests * DECAY + older.requests();
        // Excludes outages from the usual rate, so that a long one does not raise it.
        if (!isOutage()) {
            failures += older.failures();
            requests += older.requests();
        }
    }

    boolean isOutage() {
        boolean burst = last.failures() >= BURST_FAILURES && isUnusual(last.failureRate());
        return burst || isUnusual(recentFailures / recentRequests);
    }

    private boolean isUnusual(double rate) {
        return rate > MIN_RATE && rate > RATE_FACTOR * failures / requests;
    }
}
