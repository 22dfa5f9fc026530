package org.ragwortrun.router.internal.flow;

import org.ragwortrun.core.refusal.RefusalReason;
import org.ragwortrun.core.refusal.RunOutcome;

/** Maps an agent's refusal to the next action. */
final class RefusalRule {
    private RefusalRule() {}

    static RefusalAction decide(RefusalReason reason, RunOutcome run) {
        return switch (reason) {
            case DUPLICATE_DISPATCH -> RefusalAction.ATTACH;
            // No agent accepts work from a fenced incarnation, a request that crashes endpoints must not be sent to
            // another one, and a reused id remains reused on any other agent.
            case ROUTER_FENCED, REQUEST_CRASHES_ENDPOINTS, MALFORMED_REQUEST, REQUEST_TOO_LARGE, ID_REUSED ->
                RefusalAction.FINAL;
            default ->
                switch (run) {
                    case NOT_RUN -> RefusalAction.TRY_ANOTHER;
                    case RAN -> RefusalAction.FINAL;
                    case UNKNOWN -> RefusalAction.UNCERTAIN;
                };
        };
    }
}
