package org.ragwortrun.routing.version;

import org.ragwortrun.proto.MoveState;

/**
 * State of a move of traffic and the share to apply.
 *
 * @param state state of the move
 * @param sharePermille share of the new version in thousandths
 * @param reason reason for the state, shown to operators
 */
public record MoveDecision(MoveState state, int sharePermille, String reason) {}
