package org.ragwortrun.router.internal.flow;

import org.ragwortrun.core.refusal.RefusalReason;
import org.ragwortrun.core.refusal.RunOutcome;

/** Decides what follows when an agent refuses a dispatch. */
final class RefusedRule {
    private RefusedRule() {}

    static RefusedStep decide(RefusalReason reason, RunOutcome run) {
        return switch (reason) {
            case DUPLICATE_DISPATCH -> RefusedStep.ATTACH;
            // No agent takes work of a fenced incarnation, and a request that crashes endpoints must not meet another.
            case ROUTER_FENCED, REQUEST_CRASHES_ENDPOINTS, MALFORMED_REQUEST, REQUEST_TOO_LARGE -> RefusedStep.FINAL;
            default ->
                switch (run) {
                    case NOT_RUN -> RefusedStep.TRY_ANOTHER;
                    case RAN -> RefusedStep.FINAL;
                    case UNKNOWN -> RefusedStep.UNCERTAIN;
                };
        };
    }
}
