package org.ragwortrun.ledger.internal;

import java.util.Optional;
import org.ragwortrun.proto.ClaimResult;

/**
 * Checks the timestamp in a request id.
 *
 * <p>A timestamp may be up to five minutes ahead of the owner's clock, so the first claim of an id may be up to five
 * minutes older than its timestamp. An id therefore expires five minutes before its timestamp leaves the register.
 */
final class KeyTimeRule {
    static final long CLOCK_TOLERANCE_MS = 300_000;

    private KeyTimeRule() {}

    /** Returns the outcome of a claim that must be rejected. A key time of 0 means that the id has no timestamp. */
    static Optional<ClaimResult.Outcome> reject(long keyTimeMs, long nowMs, long forgottenBeforeMs) {
        if (keyTimeMs == 0) {
            return Optional.empty();
        }
        if (keyTimeMs > nowMs + CLOCK_TOLERANCE_MS) {
            return Optional.of(ClaimResult.Outcome.FUTURE);
        }
        return keyTimeMs - CLOCK_TOLERANCE_MS < forgottenBeforeMs
                ? Optional.of(ClaimResult.Outcome.EXPIRED)
                : Optional.empty();
    }
}
