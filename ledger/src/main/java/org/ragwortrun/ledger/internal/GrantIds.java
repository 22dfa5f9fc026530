package org.ragwortrun.ledger.internal;

import java.util.Optional;

/** Names of grants: the incarnation of the router, a dash and a counter that rises from 1. */
public final class GrantIds {
    private GrantIds() {}

    public static String of(String incarnation, long counter) {
        return incarnation + "-" + counter;
    }

    /** Returns the counter of a grant id, or nothing if the id does not belong to the incarnation. */
    public static Optional<Long> counter(String grantId, String incarnation) {
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
