package org.ragwortrun.ledger.internal;

import java.util.Optional;

/** Grant ids, which consist of the router incarnation, a dash and a counter that starts at 1. */
public final class GrantIds {
    private GrantIds() {}

    public static String of(String incarnation, long counter) {
        return incarnation + "-" + counter;
    }

    /** Returns the counter of a grant id, or empty if the id does not belong to the incarnation. */
    public static Optional<Long> parseCounter(String grantId, String incarnation) {
        String prefix = incarnation + "-";
        if (incarnation.isEmpty() || !grantId.startsWith(prefix)) {
            return Optional.empty();
        }
        try {
            long counter = Long.parseLong(grantId.substring(prefix.length()));
            return counter > 0 ? Optional.of(counter) : Optional.empty();
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }
}
