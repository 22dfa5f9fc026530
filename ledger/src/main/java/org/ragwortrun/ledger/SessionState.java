package org.ragwortrun.ledger;

import java.util.List;

/**
 * The session of a router incarnation as its shard sees it.
 *
 * @param router name of the router, empty if the incarnation was closed before it opened a session
 * @param incarnation its incarnation
 * @param phase phase of the session
 * @param awaitedAgents agents that have yet to confirm that they fenced the incarnation
 */
public record SessionState(String router, String incarnation, Phase phase, List<String> awaitedAgents) {
    /** Phase of a session. */
    public enum Phase {
        /** The incarnation may take grants. */
        OPEN,
        /** A newer incarnation of the router has registered. */
        SUPERSEDED,
        /** Agents are awaited before the grants return. */
        CLOSING,
        /** All grants have returned. */
        CLOSED
    }
}
