package org.ragwortrun.routing;

/**
 * What one router knows about whether an endpoint is cold and may get requests only at the warm-up rate.
 *
 * <p>The list of endpoints says it, but late. Until a list that was read later shows otherwise, an endpoint therefore
 * also counts as cold after a sign that it has started: it was listed for the first time, refused or reset connections,
 * or gets requests again after an evacuation. One that was unreachable may start at any later moment, so its warm-up
 * begins again with its first answer. Times are monotonic nanoseconds.
 */
public final class WarmUp {
    // The list is up to about a second out of date.
    private static final long LIST_LAG_NANOS = 1_500_000_000L;
    // Each failed attempt renews this time, so it ends only where nobody tries to reach the endpoint.
    private static final long MAX_UNANSWERED_NANOS = 30_000_000_000L;
    // An older failure to reach the endpoint is no reason to prolong the warm-up for others, who may have reached it
    // since.
    private static final long MAX_CLAIM_AGE_NANOS = 1_000_000_000L;
    private static final long MILLI_NANOS = 1_000_000;

    // An evacuation that ended earlier has left time to learn from the list.
    private static final long EVACUATION_NANOS = 3_000_000_000L;

    private double perSecond;
    private long durationNanos;
    private Sign sign = Sign.NONE;
    private long signNanos;
    private long evacuationEndedNanos = Long.MIN_VALUE;
    private long listedUntilNanos;
    private long reportedUntilNanos;
    private boolean listed;
    private boolean reported;

    /** Kinds of signs that an endpoint may be cold. */
    public enum Sign {
        NONE,
        /** The endpoint may be cold, but only this router has a reason to assume so. */
        POSSIBLE,
        /** The endpoint has started. */
        STARTED,
        /** The endpoint refused or reset a connection and has not answered since. */
        DOWN
    }

    /** Sets the bounds that the configuration names for the endpoint's service, 0 requests per second for none. */
    public void setBounds(double requestsPerSecond, long nanos) {
        perSecond = requestsPerSecond;
        durationNanos = nanos;
    }

    /** Records a sign that the endpoint may be cold. A weaker sign does not replace a stronger one that is in force. */
    public void onSign(Sign next, long now) {
        if (!signInForce(now) || next.compareTo(sign) >= 0) {
            sign = next;
            signNanos = now;
        }
    }

    /**
     * Records an answer. One to a request that was sent after the endpoint was unreachable shows that it has started. Others
     * need to be told only if none has reported it, because otherwise the first answer at each router would prolong the
     * warm-up for all.
     */
    public void onAnswer(long sentNanos, long now) {
        if (sign == Sign.DOWN && sentNanos - signNanos >= 0) {
            boolean known = now - signNanos >= durationNanos || reported && reportedUntilNanos - now > 0;
            sign = known ? Sign.POSSIBLE : Sign.STARTED;
            signNanos = now;
        }
    }

    /** Records that the endpoint gets requests again since a time at which an evacuation has ended. */
    public void onEvacuationEnded(long endedNanos, long now) {
        if (endedNanos != evacuationEndedNanos && now - endedNanos < EVACUATION_NANOS) {
            evacuationEndedNanos = endedNanos;
            onSign(Sign.POSSIBLE, now);
        }
    }

    /**
     * Records what the list says.
     *
     * @param coldMs time for which the endpoint stays cold, 0 if it is not
     * @param readNanos time at which the list was read
     */
    public void onListed(long coldMs, long readNanos, long now) {
        listed = coldMs > 0;
        listedUntilNanos = now + coldMs * MILLI_NANOS;
        // An endpoint that is down may be listed as before until it has started and is listed as cold.
        if (readNanos - signNanos >= LIST_LAG_NANOS && (sign != Sign.DOWN || listed)) {
            sign = Sign.NONE;
        }
    }

    /**
     * Records for how long the endpoint stays cold according to another router. A list does not end this, because the
     * endpoint may have started after the other router has noticed that it was down.
     */
    public void onReported(long coldMs, long now) {
        if (coldMs > 0) {
            reported = true;
            reportedUntilNanos = now + coldMs * MILLI_NANOS;
        }
    }

    /** Returns whether requests to the endpoint are limited because it is cold. */
    public boolean isCold(long now) {
        return perSecond > 0
                && (listed && listedUntilNanos - now > 0
                        || reported && reportedUntilNanos - now > 0
                        || signInForce(now));
    }

    /** Returns the requests per second that all routers together may send while the endpoint is cold, 0 for no bound. */
    public double perSecond() {
        return perSecond;
    }

    /**
     * Returns for how many milliseconds the endpoint stays cold as this router itself has seen it. What others have
     * reported is not repeated, so that routers do not confirm each other's reports.
     */
    public long ownColdMs(long now) {
        long byList = listed ? listedUntilNanos - now : 0;
        return Math.max(0, Math.max(byList, bySign(now))) / MILLI_NANOS;
    }

    private long bySign(long now) {
        return switch (sign) {
            case STARTED -> signNanos + durationNanos - now;
            case DOWN -> now - signNanos < MAX_CLAIM_AGE_NANOS ? durationNanos : 0;
            default -> 0;
        };
    }

    private boolean signInForce(long now) {
        long limit = sign == Sign.DOWN ? MAX_UNANSWERED_NANOS : durationNanos;
        return sign != Sign.NONE && now - signNanos < limit;
    }
}
