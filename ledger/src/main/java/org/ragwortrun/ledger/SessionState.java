package org.ragwortrun.ledger;

import java.util.List;

/**
 * State of the session between a router incarnation and its shard.
 *
 * @param router name of the router, empty if the incarnation was closed before it opened a session
 * @param incarnation incarnation of the router
 * @param phase phase of the session
 * @param awaitedAgents agents that have not yet confirmed that they fenced the incarnation
 */
public record SessionState(String router, String incarnation, Phase phase, List<String> awaitedAgents) {
    /** Phase of a session. */
    public enum Phase {
        /** The incarnation may receive grants. */
        OPEN,
        /** A newer incarnation of the router has opened a session. */
        SUPERSEDED,
        /** The grants are released once all awaited agents have confirmed the fence. */
        CLOSING,
        /** All grants have been released. */
        CLOSED
    }
}
