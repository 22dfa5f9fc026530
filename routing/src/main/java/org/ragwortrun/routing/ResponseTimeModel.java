package org.ragwortrun.routing;

/**
 * Predicts the time of an answer of an origin's endpoints from the prompt tokens that are read before it.
 *
 * <p>Fits a line through the observations, whose weight decays by age. Without observations it uses the values that it
 * was given at first. Times are monotonic nanoseconds.
 */
final class ResponseTimeModel {
    private static final double HALF_LIFE_NANOS = 10e9;
    private static final double DEFAULT_MS_PER_TOKEN = 1 / 44.0;
    private static final double MIN_MS_PER_TOKEN = 1 / 1_000.0;
    private static final double MAX_MS_PER_TOKEN = 1;
    private static final double MIN_BASE_MS = 0.5;
    // The first value counts as some observations, whose numbers of tokens differ by a typical length of a prompt.
    private static final double PRIOR_WEIGHT = 4;
    private static final double PRIOR_TOKENS = 2_000;
    // An answer that was held up for another cause must not determine the line.
    private static final double MAX_RATIO = 5;

    private double priorBaseMs;
    private double priorMsPerToken = DEFAULT_MS_PER_TOKEN;
    private double weight;
    private double x;
    private double y;
    private double xx;
    private double xy;
    private long updatedNanos;
    private double baseMs;
    private double msPerToken = DEFAULT_MS_PER_TOKEN;

    ResponseTimeModel(double priorBaseMs) {
        this.priorBaseMs = priorBaseMs;
        baseMs = priorBaseMs;
    }

    /** Sets the values that are used until there are observations. */
    void setPrior(double base, double perToken) {
        if (base > 0 && Double.isFinite(base) && perToken >= MIN_MS_PER_TOKEN && perToken <= MAX_MS_PER_TOKEN) {
            priorBaseMs = base;
            priorMsPerToken = perToken;
            fit();
        }
    }

    void record(double tokens, double ms, long now) {
        double kept = Math.exp(-Math.max(0, now - updatedNanos) * Math.log(2) / HALF_LIFE_NANOS);
        double bounded = weight < PRIOR_WEIGHT ? ms : Math.min(ms, MAX_RATIO * predict(tokens));
        weight = weight * kept + 1;
        x = x * kept + tokens;
        y = y * kept + bounded;
        xx = xx * kept + tokens * tokens;
        xy = xy * kept + tokens * bounded;
        updatedNanos = now;
        fit();
    }

    double predict(double tokens) {
        return baseMs + msPerToken * tokens;
    }

    double weight() {
        return weight;
    }

    double baseMs() {
        return baseMs;
    }

    double msPerToken() {
        return msPerToken;
    }

    private void fit() {
        double meanX = weight == 0 ? 0 : x / weight;
        double meanY = weight == 0 ? priorBaseMs : y / weight;
        double priorSquares = PRIOR_WEIGHT * PRIOR_TOKENS * PRIOR_TOKENS;
        double slope = (xy - meanX * y + priorMsPerToken * priorSquares) / (Math.max(0, xx - meanX * x) + priorSquares);
        msPerToken = Math.max(MIN_MS_PER_TOKEN, Math.min(MAX_MS_PER_TOKEN, slope));
        double base = (weight * (meanY - msPerToken * meanX) + priorBaseMs) / (weight + 1);
        baseMs = Math.max(MIN_BASE_MS, base);
    }
}
