package org.ragwortrun.routing.version;

/**
 * Tests whether the new version is slower than the old one by more than a tolerance.
 *
 * <p>Compares mean logarithms of latencies in the same interval, so that a load which slows both versions cancels out.
 * If the old version has too few requests in the interval, the test uses the old version's mean so far, but only within
 * one load band and with a wider tolerance, because load changes over time.
 */
final class LatencyTest implements SequentialTest {
    // A new version may be 10 % slower; the alternatives are 40 % and 150 % slower.
    private static final double TOLERANCE = Math.log(1.1);
    private static final double[] SHIFTS = {Math.log(1.4) - TOLERANCE, Math.log(2.5) - TOLERANCE};
    // Latencies within one load band may drift by 15 % over time, which the mean of the history does not reflect.
    private static final double DRIFT = Math.log(1.15);
    // Lower variances are artifacts of too few requests.
    private static final double VARIANCE_FLOOR = 0.04;
    // Requests of one interval are under the same load, so no variance of a mean counts as lower than this.
    private static final double INTERVAL_VARIANCE = 0.0025;
    // The error of the history's mean repeats in every interval, so its standard error must be at most 10 %.
    private static final double HISTORY_VARIANCE = 0.01;

    private final boolean oneLoadBand;
    private final MixtureEvidence evidence = new MixtureEvidence(SHIFTS);
    private Sample history = Sample.EMPTY;
    private Sample newerTotal = Sample.EMPTY;

    /**
     * Creates a test.
     *
     * @param oneLoadBand whether all samples come from one load band, which makes different times comparable
     */
    LatencyTest(boolean oneLoadBand) {
        this.oneLoadBand = oneLoadBand;
    }

    @Override
    public void add(Sample newer, Sample older) {
        newerTotal = newerTotal.plus(newer);
        if (newer.latencies() > 0) {
            addNewer(newer, older);
        }
        history = history.plus(older);
    }

    @Override
    public double logEvidence() {
        return evidence.logValue();
    }

    private void addNewer(Sample newer, Sample older) {
        double spread = Math.max(history.logVariance(VARIANCE_FLOOR), newerTotal.logVariance(VARIANCE_FLOOR));
        double own = spread / newer.latencies();
        boolean usableHistory = oneLoadBand && history.latencies() * HISTORY_VARIANCE >= spread;
        double historyVariance = INTERVAL_VARIANCE + HISTORY_VARIANCE;
        double pairedVariance =
                older.latencies() == 0 ? Double.POSITIVE_INFINITY : INTERVAL_VARIANCE + spread / older.latencies();
        if (usableHistory && historyVariance < pairedVariance) {
            add(newer.meanLog() - history.meanLog() - TOLERANCE - DRIFT, own + historyVariance);
        } else if (older.latencies() > 0) {
            add(newer.meanLog() - older.meanLog() - TOLERANCE, own + pairedVariance);
        }
    }

    private void add(double excess, double variance) {
        evidence.add(shift -> shift * (excess - shift / 2) / variance);
    }
}
