package org.ragwortrun.routing.version;

import org.ragwortrun.proto.EvidenceRow;

/**
 * Counts of one version in one stratum during one interval.
 *
 * @param requests requests that ended
 * @param failures requests that failed
 * @param latencies requests with a measured latency
 * @param logSum sum of the natural logarithms of the latencies in microseconds
 * @param logSquareSum sum of the squares of these logarithms
 */
record Sample(long requests, long failures, long latencies, double logSum, double logSquareSum) {
    static final Sample EMPTY = new Sample(0, 0, 0, 0, 0);

    static Sample of(EvidenceRow row) {
        return new Sample(
                row.getRequests(),
                row.getFailures(),
                row.getLatencyCount(),
                row.getLogLatencySum(),
                row.getLogLatencySquareSum());
    }

    Sample plus(Sample other) {
        return new Sample(
                requests + other.requests,
                failures + other.failures,
                latencies + other.latencies,
                logSum + other.logSum,
                logSquareSum + other.logSquareSum);
    }

    double failureRate() {
        return requests == 0 ? 0 : (double) failures / requests;
    }

    double meanLog() {
        return latencies == 0 ? 0 : logSum / latencies;
    }

    /** Returns the variance of the logarithms, at least {@code floor}. */
    double logVariance(double floor) {
        if (latencies < 2) {
            return floor;
        }
        double mean = meanLog();
        return Math.max(floor, logSquareSum / latencies - mean * mean);
    }
}
