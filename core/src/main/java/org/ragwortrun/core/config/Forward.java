package org.ragwortrun.core.config;

import java.time.Duration;
import java.util.Map;

/**
 * A host and path prefix whose requests are forwarded unchanged to an origin.
 *
 * @param name unique name
 * @param host value of the Host header that it matches
 * @param path path prefix that it matches
 * @param kind what may be repeated
 * @param resumable whether a broken stream may go on at another endpoint
 * @param timeout longest time for which a caller is kept waiting
 * @param goal time within which an answer, or the first event of a stream, is on time
 * @param gap longest pause between events of a stream that is on time
 * @param priority rank, lower numbers go first
 * @param shares weight of each origin that gets a share of the requests
 * @param attempts endpoints to which one request may be sent
 * @param open whether callers need no key
 * @param sticky whether requests with the same prompt prefix should reach the same endpoint
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
        boolean sticky) {
    /** What a request may do more than once. */
    public enum Kind {
        /** May run more than once. */
        IDEMPOTENT,
        /** Runs at most once. */
        ONCE,
        /** Answers with events and runs at most once, unless the route is resumable. */
        STREAM
    }

    /** Tells whether a request may run again after a run whose result is lost. */
    public boolean isRepeatable() {
        return kind == Kind.IDEMPOTENT || (kind == Kind.STREAM && resumable);
    }
}
