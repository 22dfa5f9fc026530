package org.ragwortrun.routing.version;

/**
 * Detects that the old version fails far more often than usual.
 *
 * <p>During such an outage a comparison says little about the new version, so its share must not rise.
 */
final class OutageDetector {
    // With intervals of 5 s the weights of recent requests add up to about one minute.
    private static final double DECAY = 11.0 / 12;
    private static final double LEAST_RATE = 0.1;
    private static final double FACTOR = 3;
    // Failures of one interval that show an outage before the last minute does.
    private static final long BURST = 5;

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
        // A long outage must not become the usual state.
        if (!isOutage()) {
            failures += older.failures();
            requests += older.requests();
        }
    }

    boolean isOutage() {
        boolean burst = last.failures() >= BURST && isUnusual(last.failureRate());
        return burst || isUnusual(recentFailures / recentRequests);
    }

    private boolean isUnusual(double rate) {
        return rate > LEAST_RATE && rate > FACTOR * failures / requests;
    }
}
