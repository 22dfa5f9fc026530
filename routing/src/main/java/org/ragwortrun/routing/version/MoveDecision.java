package org.ragwortrun.routing.version;

import org.ragwortrun.proto.MoveState;

/**
 * What a move of traffic comes to at a point in time.
 *
 * @param state state of the move
 * @param sharePermille share of the new version in thousandths
 * @param reason why the move stands there, for operators
 */
public record MoveDecision(MoveState state, int sharePermille, String reason) {}
