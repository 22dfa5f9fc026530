package org.ragwortrun.router.internal.flow;

import org.ragwortrun.proto.ClaimResult;

/** Decides what follows from the register's answer to a claim. */
final class ClaimRule {
    private ClaimRule() {}

    static ClaimStep decide(ClaimResult result, boolean repeatable) {
        return switch (result.getOutcome()) {
            case FRESH -> ClaimStep.DISPATCH;
            // A claim that names no agent was never followed by a dispatch.
            case RUNNING -> result.getAgent().isEmpty() ? ClaimStep.REPLACE : ClaimStep.ASK_AGENT;
            case RAN -> result.getAnswerKept() ? ClaimStep.ANSWER_KEPT : ClaimStep.ATTACH;
            case NOT_RUN -> ClaimStep.REPLACE;
            case CONFLICT -> ClaimStep.REFUSE_REUSED;
            case EXPIRED -> ClaimStep.REFUSE_EXPIRED;
            case FUTURE -> ClaimStep.REFUSE_FUTURE;
            default -> repeatable ? ClaimStep.REPLACE : ClaimStep.REFUSE_UNKNOWN;
        };
    }
}
