package org.ragwortrun.routing;

/**
 * Requests that one router keeps in flight at one endpoint, as far as the endpoint's rejections show that it is full.
 *
 * <p>There is no bound before the first rejection. A rejection reduces the bound by a factor, at most once for the
 * requests that were in flight together; answers raise it by one per window of answers, and it also rises with time, so
 * that a router with few requests does not keep it for long. After a rejection, the next request waits for an answer or a
 * short time, which doubles with each further rejection. Times are monotonic nanoseconds.
 */
public final class EndpointWindow {
    private static final double SECOND_NANOS = 1e9;
    private static final double DECREASE = 0.7;
    private static final double INCREASE_PER_SECOND = 1;
    // About the time in which one slot of a plain endpoint becomes free.
    private static final long FIRST_HOLD_NANOS = 10_000_000L;
    private static final long MAX_HOLD_NANOS = 160_000_000L;

    private double bound = Double.POSITIVE_INFINITY;
    private boolean held;
    private long holdNanos = FIRST_HOLD_NANOS;
    private long heldUntilNanos;
    private long decreasedNanos;
    private long raisedNanos;

    /**
     * Records that the endpoint rejected a request because it is full.
     *
     * @param inFlight requests of this router that remain in flight at the endpoint
     * @param sentNanos time at which the request was sent
     */
    public void onRejected(int inFlight, long sentNanos, long now) {
        raise(now);
        if (Double.isInfinite(bound) || sentNanos - decreasedNanos >= 0) {
            bound = Math.max(1, Math.min(bound, inFlight) * DECREASE);
            decreasedNanos = now;
            holdNanos = held ? Math.min(MAX_HOLD_NANOS, 2 * holdNanos) : FIRST_HOLD_NANOS;
            heldUntilNanos = now + holdNanos;
            held = true;
        }
    }

    /** Records that the endpoint answered a request. */
    public void onAnswered(long now) {
        raise(now);
        held = false;
        bound += 1 / bound;
    }

    /** Returns whether a request may be sent after the last rejection, regardless of the bound. */
    public boolean isOpen(long now) {
        return !held || heldUntilNanos - now <= 0;
    }

    /**
     * Returns whether one more request may be sent.
     *
     * @param inFlight requests of this router that are in flight at the endpoint
     */
    public boolean hasRoom(int inFlight, long now) {
        raise(now);
        return isOpen(now) && (inFlight == 0 || inFlight + 1 <= bound);
    }

    private void raise(long now) {
        bound += Math.max(0, now - raisedNanos) / SECOND_NANOS * INCREASE_PER_SECOND;
        raisedNanos = now;
    }
}
