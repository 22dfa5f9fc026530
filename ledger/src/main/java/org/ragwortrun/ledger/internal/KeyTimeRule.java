package org.ragwortrun.ledger.internal;

import java.util.Optional;
import org.ragwortrun.proto.ClaimResult;

/**
 * Checks the time that a request id carries.
 *
 * <p>An id may be up to five minutes ahead of the owner's clock. An id counts as expired five minutes before its own
 * time leaves the register, because its first claim may be older than the time it carries by that much.
 */
final class KeyTimeRule {
    static final long TOLERANCE_MS = 300_000;

    private KeyTimeRule() {}

    /** Returns the outcome of a claim that must not run. A key time of 0 means that the id carries no time. */
    static Optional<ClaimResult.Outcome> reject(long keyTimeMs, long nowMs, long forgottenBeforeMs) {
        if (keyTimeMs == 0) {
            return Optional.empty();
        }
        if (keyTimeMs > nowMs + TOLERANCE_MS) {
            return Optional.of(ClaimResult.Outcome.FUTURE);
        }
        return keyTimeMs - TOLERANCE_MS < forgottenBeforeMs
                ? Optional.of(ClaimResult.Outcome.EXPIRED)
                : Optional.empty();
    }
}
