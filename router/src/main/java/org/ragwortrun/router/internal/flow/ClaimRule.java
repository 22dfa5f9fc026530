package org.ragwortrun.router.internal.flow;

import org.ragwortrun.proto.ClaimResult;

/** Maps the register's reply to a claim to the next action. */
final class ClaimRule {
    private ClaimRule() {}

    static ClaimAction decide(ClaimResult result, boolean repeatable) {
        return switch (result.getOutcome()) {
            case FRESH -> ClaimAction.DISPATCH;
            // A claim without an agent was never dispatched.
            case RUNNING -> result.getAgent().isEmpty() ? ClaimAction.REPLACE : ClaimAction.ASK_AGENT;
            case RAN -> result.getAnswerKept() ? ClaimAction.ANSWER_KEPT : ClaimAction.ATTACH;
            case NOT_RUN -> ClaimAction.REPLACE;
            case CONFLICT -> ClaimAction.REFUSE_REUSED;
            case EXPIRED -> ClaimAction.REFUSE_EXPIRED;
            case FUTURE -> ClaimAction.REFUSE_FUTURE;
            default -> repeatable ? ClaimAction.REPLACE : ClaimAction.REFUSE_UNKNOWN;
        };
    }
}
