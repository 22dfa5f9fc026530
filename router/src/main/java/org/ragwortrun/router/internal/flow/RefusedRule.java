package org.ragwortrun.router.internal.flow;

import org.ragwortrun.core.refusal.RefusalReason;
import org.ragwortrun.core.refusal.RunOutcome;

/** Decides what follows when an agent refuses a dispatch. */
final class RefusedRule {
    private RefusedRule() {}

    static RefusedStep decide(RefusalReason reason, RunOutcome run) {
        return switch (reason) {
            case DUPLICATE_DISPATCH -> RefusedStep.ATTACH;
            // No agent takes work of a fenced incarnation, a request that crashes endpoints must not meet another, and
            // a reused id does not become a new one elsewhere.
            case ROUTER_FENCED, REQUEST_CRASHES_ENDPOINTS, MALFORMED_REQUEST, REQUEST_TOO_LARGE, ID_REUSED ->
                RefusedStep.FINAL;
            default ->
                switch (run) {
                    case NOT_RUN -> RefusedStep.TRY_ANOTHER;
                    case RAN -> RefusedStep.FINAL;
                    case UNKNOWN -> RefusedStep.UNCERTAIN;
                };
        };
    }
}
