package org.ragwortrun.routing.version;

/**
 * Tests whether the new version fails more often than the old one.
 *
 * <p>The likelihood ratio compares a reference failure rate with failure odds that are several times as high. The
 * reference is the largest of an upper bound on the old version's rate so far, its rate in the last minute and its rate
 * in the same interval, so an outage that affects both versions does not count against the new one.
 */
final class FailureTest implements SequentialTest {
    private static final double[] ODDS_RATIOS = {2.5, 8, 30, 200};
    // Prior counts, without which one chance failure would raise an alarm if the old version has had none.
    private static final double PRIOR_FAILURES = 1;
    private static final double PRIOR_REQUESTS = 100;
    // The reference is an upper confidence bound, because the error of the old version's rate repeats in every
    // interval.
    private static final double BOUND_DEVIATIONS = 2.5;
    // Weight of the long-run rate, in requests, for when the last minute has few requests of the old version.
    private static final double RECENT_PRIOR = 20;
    // With intervals of 5 s, the weights of recent intervals add up to about one minute.
    private static final double RECENT_DECAY = 11.0 / 12;

    private final MixtureEvidence evidence = new MixtureEvidence(ODDS_RATIOS);
    private double failures = PRIOR_FAILURES;
    private double requests = PRIOR_REQUESTS;
    private double recentFailures;
    private double recentRequests;

    @Override
    public void add(Sample newer, Sample older) {
        failures += older.failures();
        requests += older.requests();
        recentFailures = recentFailures * RECENT_DECAY + older.failures();
        recentRequests = recentRequests * RECENT_DECAY + older.requests();
        if (newer.requests() == 0) {
            return;
        }
        double rate = referenceRate(older);
        evidence.add(odds -> logRatio(newer, rate, odds));
    }

    @Override
    public double logEvidence() {
        return evidence.logValue();
    }

    private double referenceRate(Sample older) {
        double longRun = (failures + BOUND_DEVIATIONS * Math.sqrt(failures)) / requests;
        double recent = (recentFailures + RECENT_PRIOR * longRun) / (recentRequests + RECENT_PRIOR);
        // The rate of the last minute lags behind at the beginning of an outage.
        double current = (older.failures() + RECENT_PRIOR * longRun) / (older.requests() + RECENT_PRIOR);
        return Math.max(longRun, Math.max(recent, current));
    }

    private static double logRatio(Sample newer, double rate, double odds) {
        double raised = odds * rate / (odds * rate + 1 - rate);
        long successes = newer.requests() - newer.failures();
        return newer.failures() * Math.log(raised / rate) + successes * Math.log((1 - raised) / (1 - rate));
    }
}
