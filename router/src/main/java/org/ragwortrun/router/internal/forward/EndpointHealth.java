package org.ragwortrun.router.internal.forward;

/**
 * Decides from its answers whether an endpoint gets requests.
 *
 * <p>Endpoints may crash, stop answering, or fail some of their requests while their health check passes. An
 * unreachable endpoint is excluded at once, and one that fails requests when its failure rate exceeds a threshold.
 * After a backoff, one request probes it. Times are monotonic nanoseconds.
 */
public final class EndpointHealth {
    private static final long MS = 1_000_000;
    // A crashed server is back after some seconds. A shorter backoff detects its return early and costs only one
    // request.
    private static final long FIRST_BACKOFF_NANOS = 400 * MS;
    private static final long MAX_BACKOFF_NANOS = 3_000 * MS;
    // Smooths over about eight answers, so that a single failure does not exclude an endpoint.
    private static final double SMOOTHING_WEIGHT = 0.125;
    // Twice the failure rate of an endpoint that loses one answer in ten.
    private static final double FAILURE_THRESHOLD = 0.3;

    private double failureRate;
    private long backoffNanos = FIRST_BACKOFF_NANOS;
    private long excludedUntilNanos;
    private boolean excluded;
    private boolean probing;

    /** Returns whether a request may be sent to the endpoint now. */
    public boolean isUsable(long now) {
        return !excluded || (now - excludedUntilNanos >= 0 && !probing);
    }

    /** Returns whether the endpoint is excluded, even if a request may probe it now. */
    public boolean isExcluded() {
        return excluded;
    }

    /** Records that a request is sent to the endpoint. Returns whether it probes an excluded endpoint. */
    public boolean onSent(long now) {
        boolean probe = excluded && now - excludedUntilNanos >= 0;
        probing |= probe;
        return probe;
    }

    /**
     * Records that the probe request has ended. If it showed neither success nor failure, another one may probe the
     * endpoint.
     */
    public void onProbeEnded() {
        probing = false;
    }

    /** Records an answer that is not a failure. */
    public void onSuccess() {
        failureRate -= failureRate * SMOOTHING_WEIGHT;
        probing = false;
        if (excluded) {
            excluded = false;
            failureRate = 0;
            backoffNanos = FIRST_BACKOFF_NANOS;
        }
    }

    /** Records a failed or interrupted answer. */
    public void onFailure(long now) {
        failureRate += (1 - failureRate) * SMOOTHING_WEIGHT;
        if (excluded || failureRate > FAILURE_THRESHOLD) {
            exclude(now);
        }
    }

    /** Records that the endpoint could not be reached or has restarted. */
    public void onUnreachable(long now) {
        exclude(now);
    }

    private void exclude(long now) {
        backoffNanos = excluded ? Math.min(MAX_BACKOFF_NANOS, 2 * backoffNanos) : FIRST_BACKOFF_NANOS;
        excluded = true;
        probing = false;
        excludedUntilNanos = now + backoffNanos;
    }
}
