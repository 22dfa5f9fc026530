package org.ragwortrun.routing.version;

import java.util.Arrays;
import java.util.function.DoubleUnaryOperator;
import java.util.stream.Stream;

/** Evidence for the best of several alternatives, with the price of having looked at all of them. */
final class MixtureEvidence {
    private final double[] alternatives;
    private final RestartingEvidence[] evidence;

    MixtureEvidence(double... alternatives) {
        this.alternatives = alternatives.clone();
        evidence = Stream.generate(RestartingEvidence::new)
                .limit(alternatives.length)
                .toArray(RestartingEvidence[]::new);
    }

    /** Adds an interval, given the logarithm of its likelihood ratio under each alternative. */
    void add(DoubleUnaryOperator logRatio) {
        for (int i = 0; i < alternatives.length; i++) {
            evidence[i].add(logRatio.applyAsDouble(alternatives[i]));
        }
    }

    double logValue() {
        double best = Arrays.stream(evidence)
                .mapToDouble(RestartingEvidence::logValue)
                .max()
                .orElse(Double.NEGATIVE_INFINITY);
        // The mean of the alternatives is a valid test; its largest term bounds it from below.
        return best - Math.log(alternatives.length);
    }
}
