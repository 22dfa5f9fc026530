package org.ragwortrun.routing;

import java.time.Duration;
import java.util.OptionalLong;
import org.jspecify.annotations.Nullable;

/**
 * Tracks the notices of one endpoint and decides when it may receive its next request.
 *
 * <p>An endpoint can announce that it is leaving while endpoint lists still contain it; it then receives no further
 * requests. An overloaded endpoint can ask for a pause; it receives no requests until the pause ends. Jitter keeps all
 * routers from resuming at the same instant. After the pause, the number of requests that may be in flight starts at
 * one and doubles at a fixed interval. Times are monotonic nanoseconds.
 */
public final class EndpointNotices {
    private static final long MS = 1_000_000;
    /** Interval at which the allowed requests in flight double after a pause. */
    static final long RAMP_STEP_NANOS = 100 * MS;

    // Routers resume at random times within a quarter of the requested pause, but at least within 200 ms.
    private static final double JITTER_FRACTION = 0.25;
    private static final long MIN_JITTER_NANOS = 200 * MS;
    private static final int MAX_RAMP_STEPS = 12;

    private final long maxPauseNanos;
    private boolean leaving;
    private boolean throttled;
    private long notBefore;

    /**
     * Creates the state of an endpoint that has sent no notice.
     *
     * @param maxPause longest pause that an endpoint may ask for; longer ones are shortened to it
     */
    public EndpointNotices(Duration maxPause) {
        maxPauseNanos = maxPause.toNanos();
    }

    /** Records that the endpoint is leaving. Returns whether this was not known before. */
    public boolean onLeaving() {
        boolean before = leaving;
        leaving = true;
        return !before;
    }

    /**
     * Records that the endpoint asks for a pause. A pause that ends earlier than the present one does not shorten it.
     *
     * @param random random number from 0 to 1, exclusive, for the jitter
     */
    public void onPause(Duration asked, long now, double random) {
        long nanos = Math.min(maxPauseNanos, asked.toNanos());
        long jitter = Math.max(MIN_JITTER_NANOS, (long) (JITTER_FRACTION * nanos));
        long until = now + nanos + (long) (random * jitter);
        if (!throttled || until - notBefore > 0) {
            notBefore = until;
        }
        throttled = true;
    }

    public boolean isLeaving() {
        return leaving;
    }

    /** Returns whether the endpoint is within a pause that it asked for. */
    public boolean isPaused(long now) {
        return throttled && notBefore - now > 0;
    }

    /**
     * Returns the earliest time at which the endpoint may receive its next request, at least {@code now}. Returns empty
     * if the endpoint is leaving.
     *
     * @param inFlight requests from this router to the endpoint that have not ended
     */
    public OptionalLong earliestSendTime(long now, int inFlight) {
        if (leaving) {
            return OptionalLong.empty();
        }
        if (!throttled) {
            return OptionalLong.of(now);
        }
        // From the n-th step on, up to 2^n requests may be in flight.
        int step = Integer.SIZE - Integer.numberOfLeadingZeros(inFlight);
        long allowed = notBefore + Math.min(MAX_RAMP_STEPS, step) * RAMP_STEP_NANOS;
        if (now - notBefore >= MAX_RAMP_STEPS * RAMP_STEP_NANOS) {
            throttled = false;
        }
        return OptionalLong.of(allowed - now > 0 ? allowed : now);
    }

    /**
     * Parses a duration in seconds, which may have a fraction.
     *
     * @return the duration, or null if the text is not a finite, non-negative number
     */
    public static @Nullable Duration readSeconds(String text) {
        try {
            double seconds = Double.parseDouble(text.trim());
            boolean valid = seconds >= 0 && Double.isFinite(seconds);
            // Limits the value, so that the conversion to milliseconds does not overflow.
            return valid ? Duration.ofMillis((long) (Math.min(seconds, Integer.MAX_VALUE) * 1_000)) : null;
        } catch (NumberFormatException e) {
            return null;
        }
    }
}
