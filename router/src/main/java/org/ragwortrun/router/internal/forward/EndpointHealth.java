package org.ragwortrun.router.internal.forward;

/**
 * Decides from answers whether an endpoint gets requests.
 *
 * <p>The load it answers: endpoints that crash, fall silent, or fail a part of their requests while their health check
 * passes. An endpoint that cannot be reached is left out at once, one that fails is left out when its failures stand
 * out. After a pause one request tries it. Times are monotonic nanoseconds.
 */
public final class EndpointHealth {
    private static final long MS = 1_000_000;
    // A crashed server of the operators is back after some seconds; a shorter pause finds it early at one request.
    private static final long FIRST_PAUSE_NANOS = 400 * MS;
    private static final long LONGEST_PAUSE_NANOS = 3_000 * MS;
    // Smooths over about eight answers, so that a single failure does not leave an endpoint out.
    private static final double WEIGHT = 0.125;
    // Twice the failures of an endpoint that loses one answer in ten.
    private static final double FAILING = 0.3;

    private double failures;
    private long pauseNanos = FIRST_PAUSE_NANOS;
    private long outUntil;
    private boolean out;
    private boolean trying;

    /** Tells whether a request may go to the endpoint now. */
    public boolean isUsable(long now) {
        return !out || (now - outUntil >= 0 && !trying);
    }

    /** Tells whether the endpoint is left out, even if a request may try it. */
    public boolean isOut() {
        return out;
    }

    /** Notes that a request goes to the endpoint. Returns whether it tries an endpoint that is left out. */
    public boolean onSent(long now) {
        boolean tries = out && now - outUntil >= 0;
        trying |= tries;
        return tries;
    }

    /** Notes that the request that tried the endpoint has ended. Without a verdict, another one may try it. */
    public void onTrialEnded() {
        trying = false;
    }

    /** Notes an answer of the endpoint that tells nothing against it. */
    public void onSuccess() {
        failures -= failures * WEIGHT;
        trying = false;
        if (out) {
            out = false;
            failures = 0;
            pauseNanos = FIRST_PAUSE_NANOS;
        }
    }

    /** Notes a failed answer or one that was broken off. */
    public void onFailure(long now) {
        failures += (1 - failures) * WEIGHT;
        if (out || failures > FAILING) {
            leaveOut(now);
        }
    }

    /** Notes that the endpoint could not be reached or has restarted. */
    public void onUnreachable(long now) {
        leaveOut(now);
    }

    private void leaveOut(long now) {
        pauseNanos = out ? Math.min(LONGEST_PAUSE_NANOS, 2 * pauseNanos) : FIRST_PAUSE_NANOS;
        out = true;
        trying = false;
        outUntil = now + pauseNanos;
    }
}
