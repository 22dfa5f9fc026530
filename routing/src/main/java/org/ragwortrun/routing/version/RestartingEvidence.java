package org.ragwortrun.routing.version;

/**
 * Shiryaev-Roberts sum of likelihood ratios, kept as a logarithm.
 *
 * <p>It restarts at each interval, so evidence of a long good period does not hide a fault that begins late.
 */
final class RestartingEvidence {
    private double logSum = Double.NEGATIVE_INFINITY;

    /** Multiplies the sum, with one new start, by an interval's likelihood ratio. */
    void add(double logRatio) {
        logSum = logAddOne(logSum) + logRatio;
    }

    double logValue() {
        return logSum;
    }

    private static double logAddOne(double logX) {
        return logX > 0 ? logX + Math.log1p(Math.exp(-logX)) : Math.log1p(Math.exp(logX));
    }
}
