package org.ragwortrun.router.internal.flow;

import org.ragwortrun.net.Peer;
import org.ragwortrun.router.internal.agents.AgentLink;

/**
 * An agent that is connected with the requested incarnation.
 *
 * @param link link to the agent
 * @param peer open connection
 */
record ConnectedAgent(AgentLink link, Peer peer) {}
