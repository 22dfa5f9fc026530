package org.ragwortrun.routing;

import java.time.Duration;
import java.util.OptionalLong;
import org.jspecify.annotations.Nullable;

/**
 * Decides from what an endpoint says of itself whether it gets one more request now, and if not, from when.
 *
 * <p>The load it answers: endpoints that leave while lists still name them, and endpoints that ask for time because they
 * have too much to do, to which all routers would return in the same instant. A leaving endpoint gets nothing any more. One
 * that asked for time gets nothing until then, and after it one request more at a time, doubling at a fixed step. Times are
 * monotonic nanoseconds.
 */
public final class EndpointNotices {
    private static final long MS = 1_000_000;
    /** Time in which the requests that an endpoint may have at a time double after a pause. */
    static final long STEP_NANOS = 100 * MS;

    // Routers return over a quarter of the time that was asked for, and over a fifth of a second at least.
    private static final double SPREAD_PART = 0.25;
    private static final long LEAST_SPREAD_NANOS = 200 * MS;
    private static final int LAST_STEP = 12;

    private final long longestNanos;
    private boolean leaving;
    private boolean returning;
    private long notBefore;

    /**
     * Creates the notices of an endpoint that has said nothing.
     *
     * @param longest longest time that is granted to an endpoint
     */
    public EndpointNotices(Duration longest) {
        longestNanos = longest.toNanos();
    }

    /** Notes that the endpoint leaves. Returns whether this is new. */
    public boolean onLeaving() {
        boolean before = leaving;
        leaving = true;
        return !before;
    }

    /**
     * Notes that the endpoint wants nothing for a time. A shorter time that arrives later does not undo a longer one.
     *
     * @param random number from 0 to below 1 that spreads the return of several routers
     */
    public void onPause(Duration asked, long now, double random) {
        long nanos = Math.min(longestNanos, asked.toNanos());
        long spread = Math.max(LEAST_SPREAD_NANOS, (long) (SPREAD_PART * nanos));
        long until = now + nanos + (long) (random * spread);
        if (!returning || until - notBefore > 0) {
            notBefore = until;
        }
        returning = true;
    }

    public boolean isLeaving() {
        return leaving;
    }

    /** Tells whether the endpoint wants nothing now because it asked for time. */
    public boolean isPaused(long now) {
        return returning && notBefore - now > 0;
    }

    /**
     * Returns the earliest time at which the endpoint may get one more request, which is now if it may get it at once.
     * Returns nothing if it leaves.
     *
     * @param inFlight requests that this router has sent to it and that have not ended
     */
    public OptionalLong earliest(long now, int inFlight) {
        if (leaving) {
            return OptionalLong.empty();
        }
        if (!returning) {
            return OptionalLong.of(now);
        }
        // From the n-th step on, up to 2^n requests may be on their way.
        int step = Integer.SIZE - Integer.numberOfLeadingZeros(inFlight);
        long allowed = notBefore + Math.min(LAST_STEP, step) * STEP_NANOS;
        if (now - notBefore >= LAST_STEP * STEP_NANOS) {
            returning = false;
        }
        return OptionalLong.of(allowed - now > 0 ? allowed : now);
    }

    /**
     * Reads a time to wait in seconds, which may have a fraction.
     *
     * @return the time, or nothing if the text is no number of seconds that is zero or more
     */
    public static @Nullable Duration readSeconds(String text) {
        try {
            double seconds = Double.parseDouble(text.trim());
            boolean valid = seconds >= 0 && Double.isFinite(seconds);
            // Times beyond any bound are cut here, so that they do not overflow.
            return valid ? Duration.ofMillis((long) (Math.min(seconds, Integer.MAX_VALUE) * 1_000)) : null;
        } catch (NumberFormatException e) {
            return null;
        }
    }
}
