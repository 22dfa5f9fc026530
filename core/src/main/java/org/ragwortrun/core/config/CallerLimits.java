package org.ragwortrun.core.config;

import java.time.Duration;

/**
 * Bounds on what a caller may send and how long it may take.
 *
 * @param headerBytes most bytes of a request head
 * @param bodyBytes most bytes of a request body
 * @param headerTimeout longest time from the first byte of a head to its end
 * @param idleTimeout longest time for which a connection without a request stays open
 */
public record CallerLimits(int headerBytes, int bodyBytes, Duration headerTimeout, Duration idleTimeout) {
    /** Limits where the configuration names none. */
    public static final CallerLimits USUAL =
            new CallerLimits(16 << 10, 4 << 20, Duration.ofSeconds(5), Duration.ofSeconds(30));
}
