package org.ragwortrun.core.config;

import java.time.Duration;
import java.util.Map;
import java.util.Set;

/**
 * A host and path prefix whose requests are forwarded unchanged to an origin.
 *
 * @param name unique name
 * @param host value of the Host header that it matches
 * @param path path prefix that it matches
 * @param kind whether requests may run more than once
 * @param resumable whether an interrupted stream may continue at another endpoint
 * @param timeout maximum time that a caller waits
 * @param goal latency goal for an answer or the first event of a stream
 * @param gap goal for the maximum gap between events of a stream
 * @param priority lower numbers go first
 * @param shares weight of each origin that receives requests
 * @param attempts maximum number of endpoints to which a request is sent
 * @param open whether callers need no API key
 * @param sticky whether requests with the same prompt prefix should reach the same endpoint
 * @param regions regions whose endpoints may get its requests, empty if all may
 */
public record Forward(
        String name,
        String host,
        String path,
        Kind kind,
        boolean resumable,
        Duration timeout,
        Duration goal,
        Duration gap,
        int priority,
        Map<String, Integer> shares,
        int attempts,
        boolean open,
        boolean sticky,
        Set<String> regions) {
    /** Whether a request may run more than once. */
    public enum Kind {
        /** May run more than once. */
        IDEMPOTENT,
        /** Runs at most once. */
        ONCE,
        /** Answers with events and runs at most once, unless the route is resumable. */
        STREAM
    }

    /** Returns whether a request may be retried after its result was lost. */
    public boolean isRepeatable() {
        return kind == Kind.IDEMPOTENT || (kind == Kind.STREAM && resumable);
    }
}
