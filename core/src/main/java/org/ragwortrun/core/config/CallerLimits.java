package org.ragwortrun.core.config;

import java.time.Duration;

/**
 * Bounds on what a caller may send and how long it may take.
 *
 * @param headerBytes maximum size of the request headers in bytes
 * @param bodyBytes maximum size of a request body in bytes
 * @param headerTimeout maximum time from the first byte of the headers to their end
 * @param idleTimeout time after which a connection without a request is closed
 */
public record CallerLimits(int headerBytes, int bodyBytes, Duration headerTimeout, Duration idleTimeout) {
    /** Limits that apply if the configuration sets none. */
    public static final CallerLimits DEFAULTS =
            new CallerLimits(16 << 10, 4 << 20, Duration.ofSeconds(5), Duration.ofSeconds(30));
}
