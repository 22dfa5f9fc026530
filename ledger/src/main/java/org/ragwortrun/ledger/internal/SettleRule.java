package org.ragwortrun.ledger.internal;

import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.ragwortrun.proto.Usage;

/** Decides whether a usage that has not been billed yet may be billed against its grant. */
final class SettleRule {
    static final String NEGATIVE = "negative-tokens";
    static final String UNKNOWN_BUDGET = "unknown-budget";
    static final String CLOSED = "grant-closed";
    static final String FOREIGN = "grant-of-other-incarnation";
    static final String EXCEEDS = "exceeds-grant";
    static final String TOO_OLD = "grant-older-than-register";

    private SettleRule() {}

    /** Returns whether a grant has enough outstanding tokens for a usage. */
    static boolean fits(Usage usage, Grant grant) {
        return usage.getTokens() >= 0
                && usage.getReturned() >= 0
                && usage.getTokens() <= grant.outstanding()
                && usage.getReturned() <= grant.outstanding() - usage.getTokens();
    }

    /**
     * Returns the reason why a usage cannot be billed, or empty if it can.
     *
     * @param grant grant of the usage, null if it is closed or was never issued
     * @param acceptFromMs earliest issue time of a grant for which the register can detect duplicate usage reports
     */
    static Optional<String> reject(Usage usage, @Nullable Grant grant, long acceptFromMs) {
        if (usage.getTokens() < 0 || usage.getReturned() < 0) {
            return Optional.of(NEGATIVE);
        }
        if (grant == null) {
            return Optional.of(CLOSED);
        }
        if (!grant.incarnation().equals(usage.getIncarnation())) {
            return Optional.of(FOREIGN);
        }
        if (grant.issuedMs() < acceptFromMs) {
            return Optional.of(TOO_OLD);
        }
        return fits(usage, grant) ? Optional.empty() : Optional.of(EXCEEDS);
    }
}
