package org.ragwortrun.router.internal.flow;

import org.ragwortrun.net.Peer;
import org.ragwortrun.router.internal.agents.AgentLink;

/**
 * An agent of the incarnation that was asked for.
 *
 * @param link link to the agent
 * @param peer open connection
 */
record ConnectedAgent(AgentLink link, Peer peer) {}
