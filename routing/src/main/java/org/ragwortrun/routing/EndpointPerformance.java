package org.ragwortrun.routing;

import java.util.Optional;

/**
 * How much slower or faster one endpoint answers than the other endpoints of its origin.
 *
 * <p>Each answer is compared with the time that the origin's common model predicts for it. Load that all endpoints have
 * in common cancels out, so only the ratio is learned: 1 is the mean of the origin, 2 is twice as slow. Two levels are
 * kept. The recent one follows an endpoint that becomes slow for some seconds; it decays to the steady one, which holds
 * lasting differences and itself decays to the mean of the origin. An endpoint that gets few requests because it was slow
 * is therefore used again. The steady level also includes what other routers have learned; a router's own answers
 * displace their answers one for one. A new incarnation of an endpoint has a new object. Times are monotonic nanoseconds.
 */
public final class EndpointPerformance {
    private static final double SECOND_NANOS = 1e9;
    private static final double RECENT_HALF_LIFE_NANOS = 1.5 * SECOND_NANOS;
    // Longer than the interval at which a quiet router hears from others, so that lasting differences are kept.
    private static final double STEADY_HALF_LIFE_NANOS = 15 * SECOND_NANOS;
    // A single answer that waited behind a long prompt says little about its endpoint.
    private static final double MAX_RATIO = 10;
    private static final double PRIOR_WEIGHT = 1;
    // Lets some slow answers in a second outweigh many fast ones before them.
    private static final double MAX_RECENT_WEIGHT = 5;
    // A lasting difference is believed after some answers, because the times of single answers vary by a multiple.
    private static final double STEADY_PRIOR_WEIGHT = 3;
    private static final double MAX_OTHERS_WEIGHT = 16;
    private static final double MAX_FACTOR = 20;
    // The factor changes little in this time unless answers arrive. Saves the computation in most decisions.
    private static final long CACHED_NANOS = 50_000_000L;
    // Answers of a busy endpoint vary by less, so that lines show lasting changes.
    private static final double LOG_CHANGE = 2;
    private static final long LOG_INTERVAL_NANOS = 10_000_000_000L;
    // A full endpoint is worse than a slow one, which still answers.
    private static final double REJECTION_RATIO = 5;

    private final long createdNanos;
    private final DecayedMean recent = new DecayedMean(RECENT_HALF_LIFE_NANOS, MAX_RECENT_WEIGHT);
    private final DecayedMean steady = new DecayedMean(STEADY_HALF_LIFE_NANOS);
    private final DecayedMean others = new DecayedMean(STEADY_HALF_LIFE_NANOS);
    private final DecayedMean pooled = new DecayedMean(STEADY_HALF_LIFE_NANOS);
    private double unreportedSum;
    private double unreportedWeight;
    private double cachedFactor = 1;
    private long cachedNanos;
    private boolean cached;
    private double loggedFactor = 1;
    private long loggedNanos;

    /** Creates the performance of an incarnation that is first listed now. */
    public EndpointPerformance(long now) {
        createdNanos = now;
        loggedNanos = now - LOG_INTERVAL_NANOS;
    }

    /**
     * What some routers have learned about an endpoint.
     *
     * @param factor duration of answers relative to the mean of the origin
     * @param weight number of answers, decayed by age
     * @param newestNanos time of the newest answer
     */
    public record Evidence(double factor, double weight, long newestNanos) {}

    /**
     * Records one answer.
     *
     * @param observedMs measured time
     * @param predictedMs time that the origin's model predicts
     * @param weight 1 for an answer, less for a measurement that says less
     */
    public void record(double observedMs, double predictedMs, double weight, long now) {
        double log = logRatio(observedMs / predictedMs);
        recent.add(log, weight, now);
        steady.add(log, weight, now);
        unreportedSum += log * weight;
        unreportedWeight += weight;
        cached = false;
    }

    /**
     * Records that the endpoint has rejected a request because it is full. Otherwise one that rejects most requests and
     * answers the others fast would look fast.
     */
    public void onRejected(long now) {
        record(REJECTION_RATIO, 1, 1, now);
    }

    /** Returns the expected duration of an answer relative to the mean of the origin. */
    public double factor(long now) {
        if (!cached || now - cachedNanos > CACHED_NANOS) {
            cachedFactor = computeFactor(now);
            cachedNanos = now;
            cached = true;
        }
        return cachedFactor;
    }

    /** Returns the number of this router's answers that the factor includes, decayed by age. */
    public double weight(long now) {
        return steady.weight(now);
    }

    /** Returns the number of other routers' answers that the factor includes. */
    public double othersWeight(long now) {
        return Math.max(0, Math.min(MAX_OTHERS_WEIGHT, others.weight(now)) - steady.weight(now));
    }

    private double computeFactor(long now) {
        double steadyWeight = steady.weight(now);
        double othersWeight = othersWeight(now);
        double recentWeight = recent.weight(now);
        if (steadyWeight + othersWeight == 0) {
            return 1;
        }
        double lasting = (steady.mean() * steadyWeight + others.mean() * othersWeight)
                / (steadyWeight + othersWeight + STEADY_PRIOR_WEIGHT);
        double log = (recent.mean() * recentWeight + lasting * PRIOR_WEIGHT) / (recentWeight + PRIOR_WEIGHT);
        return Math.exp(log);
    }

    /** Returns the answers that were recorded since the last call, if there were any. */
    public Optional<Evidence> takeUnreported() {
        if (unreportedWeight == 0) {
            return Optional.empty();
        }
        Evidence e = new Evidence(Math.exp(unreportedSum / unreportedWeight), unreportedWeight, recent.updatedNanos());
        unreportedSum = 0;
        unreportedWeight = 0;
        return Optional.of(e);
    }

    /** Adds answers that a router has reported to this one, which combines the reports of several routers. */
    public void addReport(Evidence evidence, long now) {
        if (isUsable(evidence)) {
            long newest = pooled.weight(now) == 0
                    ? evidence.newestNanos()
                    : Math.max(pooled.updatedNanos(), evidence.newestNanos());
            pooled.add(logRatio(evidence.factor()), Math.min(MAX_OTHERS_WEIGHT, evidence.weight()), newest);
        }
    }

    /** Returns what the routers that report to this one have learned, if they have reported anything. */
    public Optional<Evidence> pooled(long now) {
        double weight = pooled.weight(now);
        return weight == 0
                ? Optional.empty()
                : Optional.of(new Evidence(Math.exp(pooled.mean()), weight, pooled.updatedNanos()));
    }

    /** Replaces what other routers have learned, unless it is older than what is known of them. */
    public void setOthers(Evidence evidence) {
        boolean newer = others.mean() == 0 || evidence.newestNanos() - others.updatedNanos() > 0;
        if (isUsable(evidence) && newer) {
            others.set(logRatio(evidence.factor()), evidence.weight(), evidence.newestNanos());
            cached = false;
        }
    }

    /** Returns whether the factor differs much from the last one for which this returned true some seconds ago. */
    public boolean hasChangedMuch(long now) {
        double f = factor(now);
        boolean changed = f > loggedFactor * LOG_CHANGE || f < loggedFactor / LOG_CHANGE;
        if (!changed || now - loggedNanos < LOG_INTERVAL_NANOS) {
            return false;
        }
        loggedFactor = f;
        loggedNanos = now;
        return true;
    }

    /** Returns whether values are plausible and not those of an earlier incarnation. */
    private boolean isUsable(Evidence e) {
        return e.weight() > 0
                && Double.isFinite(e.weight())
                && e.factor() >= 1 / MAX_FACTOR
                && e.factor() <= MAX_FACTOR
                && e.newestNanos() - createdNanos >= 0;
    }

    private static double logRatio(double ratio) {
        return Math.log(Math.max(1 / MAX_RATIO, Math.min(MAX_RATIO, ratio)));
    }
}
