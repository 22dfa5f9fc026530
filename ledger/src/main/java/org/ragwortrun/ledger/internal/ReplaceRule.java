package org.ragwortrun.ledger.internal;

import org.ragwortrun.proto.Claim;
import org.ragwortrun.proto.RunState;

/**
 * Decides whether a claim may start a new attempt of a request that the register knows.
 *
 * <p>The claim must name the newest attempt, so that of two routers that retry at once only one starts an attempt. An
 * attempt whose outcome is unknown is replaced only if the request may be repeated.
 */
final class ReplaceRule {
    private ReplaceRule() {}

    static boolean allows(Claim claim, RegisterEntry entry) {
        if (claim.getReplacesAttempt() == 0
                || claim.getReplacesAttempt() != entry.attempt().number()) {
            return false;
        }
        RunState s = entry.state();
        return s == RunState.RUN_RUNNING
                || s == RunState.RUN_NOT_RUN
                || s == RunState.RUN_UNKNOWN && entry.repeatable() && claim.getRepeatable();
    }
}
