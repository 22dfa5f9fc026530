package org.ragwortrun.routing;

/** Weighted mean of observations whose weight halves at a fixed interval. Times are monotonic nanoseconds. */
final class DecayedMean {
    private final double decayPerNano;
    private final double maxWeight;
    private double sum;
    private double weight;
    private long updatedNanos;

    DecayedMean(double halfLifeNanos) {
        this(halfLifeNanos, Double.POSITIVE_INFINITY);
    }

    /**
     * Creates a mean without observations.
     *
     * @param maxWeight largest weight of all observations together, so that many of them are displaced by few later ones
     */
    DecayedMean(double halfLifeNanos, double maxWeight) {
        this.maxWeight = maxWeight;
        decayPerNano = Math.log(2) / halfLifeNanos;
    }

    /** Adds an observation. */
    void add(double value, double valueWeight, long now) {
        double kept = weight == 0 ? 0 : remaining(now);
        sum = sum * kept + value * valueWeight;
        weight = weight * kept + valueWeight;
        if (weight > maxWeight) {
            sum *= maxWeight / weight;
            weight = maxWeight;
        }
        updatedNanos = now;
    }

    /** Replaces all observations. */
    void set(double value, double valueWeight, long at) {
        sum = value * valueWeight;
        weight = valueWeight;
        updatedNanos = at;
    }

    /** Returns the remaining weight of all observations. */
    double weight(long now) {
        return weight == 0 ? 0 : weight * remaining(now);
    }

    /** Returns the mean of the observations without their age, 0 if there are none. */
    double mean() {
        return weight == 0 ? 0 : sum / weight;
    }

    long updatedNanos() {
        return updatedNanos;
    }

    private double remaining(long now) {
        return Math.exp(-Math.max(0, now - updatedNanos) * decayPerNano);
    }
}
