package org.ragwortrun.routing.version;

/**
 * Shiryaev-Roberts sum of likelihood ratios, kept as a logarithm.
 *
 * <p>Each interval starts another term of the sum, so a long period without a fault does not hide one that begins
 * later.
 */
final class ShiryaevRobertsStatistic {
    private double logSum = Double.NEGATIVE_INFINITY;

    /** Adds one to the sum, for a fault that begins now, and multiplies it by the likelihood ratio of the interval. */
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
