package org.ragwortrun.ledger.internal;

import org.ragwortrun.proto.Claim;
import org.ragwortrun.proto.RunState;

/**
 * Decides whether a claim may start a new attempt of a registered request.
 *
 * <p>The claim must refer to the newest attempt, so that only one of several concurrent retries starts a new attempt. An
 * attempt with an unknown outcome is replaced only if the request may be repeated.
 */
final class AttemptReplacementRule {
    private AttemptReplacementRule() {}

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
