package org.ragwortrun.routing;

/**
 * How the endpoints of one origin answer in the mean, and what each answer says about its endpoint.
 *
 * <p>The time to the first event of a stream, the duration of other answers and the gap between events are learned
 * separately. Times are monotonic nanoseconds.
 */
public final class OriginPerformance {
    private static final double MS_NANOS = 1e6;
    private static final double DEFAULT_MS = 60;
    private static final double GAP_HALF_LIFE_NANOS = 10e9;
    // Gaps depend on how many requests the endpoint runs as well as on its speed.
    private static final double GAP_WEIGHT = 0.5;
    // Before this many answers, differences from the prediction say little about an endpoint.
    private static final double MIN_WEIGHT = 3;

    private final ResponseTimeModel firstEvents = new ResponseTimeModel(DEFAULT_MS);
    private final ResponseTimeModel durations = new ResponseTimeModel(DEFAULT_MS);
    private final DecayedMean gaps = new DecayedMean(GAP_HALF_LIFE_NANOS);

    /**
     * Records the time to the first event of a stream.
     *
     * @param tokens prompt tokens that the endpoint read before: those of this prompt that it had not cached, and those of
     *     earlier prompts that this router had sent to it
     */
    public void onFirstEvent(EndpointPerformance endpoint, double tokens, long nanos, long now) {
        record(firstEvents, endpoint, tokens, nanos, now);
    }

    /** Records the duration of an answer that is not a stream. */
    public void onAnswer(EndpointPerformance endpoint, double tokens, long nanos, long now) {
        record(durations, endpoint, tokens, nanos, now);
    }

    /** Records the mean gap between some events of a stream. */
    public void onGap(EndpointPerformance endpoint, long nanos, long now) {
        double ms = Math.max(1, nanos) / MS_NANOS;
        if (gaps.weight(now) >= MIN_WEIGHT) {
            endpoint.record(ms, gaps.mean(), GAP_WEIGHT, now);
        }
        gaps.add(ms, 1, now);
    }

    private static void record(
            ResponseTimeModel model, EndpointPerformance endpoint, double tokens, long nanos, long now) {
        double ms = Math.max(1, nanos) / MS_NANOS;
        if (model.weight() >= MIN_WEIGHT) {
            endpoint.record(ms, model.predict(tokens), 1, now);
        }
        model.record(tokens, ms, now);
    }

    /** Uses what another router has learned until this one has answers of its own. */
    public void setPrior(double baseMs, double tokensPerMs) {
        double perToken = tokensPerMs > 0 ? 1 / tokensPerMs : 0;
        firstEvents.setPrior(baseMs, perToken);
        durations.setPrior(baseMs, perToken);
    }

    /** Returns the expected time until an endpoint of mean speed begins an answer, in milliseconds. */
    public double predictMs(double tokens) {
        return model().predict(tokens);
    }

    /**
     * Returns the expected time until an endpoint of mean speed has either begun a stream or given another answer, in
     * milliseconds. An answer that is no stream takes longer than the first event of one, and both may be awaited.
     */
    public double predictWaitMs(double tokens) {
        double first = model().predict(tokens);
        return durations.weight() > 0 ? Math.max(first, durations.predict(tokens)) : first;
    }

    /** Returns the part of the expected time that does not depend on the prompt, in milliseconds. */
    public double baseMs() {
        return model().baseMs();
    }

    /** Returns the prompt tokens that an endpoint of mean speed reads in a millisecond. */
    public double tokensPerMs() {
        return 1 / model().msPerToken();
    }

    /** Returns the mean gap between events in milliseconds, 0 if unknown. */
    public double gapMs() {
        return gaps.mean();
    }

    /** Returns the number of answers that the values include, decayed by age. */
    public double weight() {
        return model().weight();
    }

    private ResponseTimeModel model() {
        return firstEvents.weight() > 0 || durations.weight() == 0 ? firstEvents : durations;
    }
}
