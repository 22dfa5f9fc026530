package org.ragwortrun.routing.version;

import java.util.Arrays;
import java.util.function.DoubleUnaryOperator;
import java.util.stream.Stream;

/** Evidence for the most likely of several alternatives, corrected for the number of alternatives tested. */
final class MixtureEvidence {
    private final double[] alternatives;
    private final ShiryaevRobertsStatistic[] evidence;

    MixtureEvidence(double... alternatives) {
        this.alternatives = alternatives.clone();
        evidence = Stream.generate(ShiryaevRobertsStatistic::new)
                .limit(alternatives.length)
                .toArray(ShiryaevRobertsStatistic[]::new);
    }

    /** Adds an interval, given the logarithm of its likelihood ratio under each alternative. */
    void add(DoubleUnaryOperator logRatio) {
        for (int i = 0; i < alternatives.length; i++) {
            evidence[i].add(logRatio.applyAsDouble(alternatives[i]));
        }
    }

    double logValue() {
        double best = Arrays.stream(evidence)
                .mapToDouble(ShiryaevRobertsStatistic::logValue)
                .max()
                .orElse(Double.NEGATIVE_INFINITY);
        // The mean over the alternatives is a valid test statistic; its largest term is a lower bound.
        return best - Math.log(alternatives.length);
    }
}
