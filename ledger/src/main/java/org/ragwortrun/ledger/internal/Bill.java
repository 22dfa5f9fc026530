package org.ragwortrun.ledger.internal;

import org.ragwortrun.proto.Usage;

/**
 * Bill of a request.
 *
 * @param incarnation router incarnation whose grant was charged
 * @param grant counter of the charged grant
 */
record Bill(
        long tokens, int promptTokens, int outputTokens, Profile profile, String incarnation, long grant, long atMs) {
    static Bill of(Usage usage, long nowMs) {
        Profile profile = new Profile(
                usage.getBudget().getService(),
                usage.getEndpoint(),
                usage.getVersion(),
                usage.getRoute(),
                usage.getStatus());
        return new Bill(
                usage.getTokens(),
                clamp(usage.getPromptTokens()),
                clamp(usage.getOutputTokens()),
                profile,
                usage.getIncarnation(),
                GrantIds.parseCounter(usage.getGrantId(), usage.getIncarnation())
                        .orElse(0L),
                nowMs);
    }

    private static int clamp(long tokens) {
        return (int) Math.max(0, Math.min(Integer.MAX_VALUE, tokens));
    }

    /** Fields that many bills of a bucket share, stored once per bucket. */
    record Profile(String service, String endpoint, String version, String route, int status) {
        static final Profile NONE = new Profile("", "", "", "", 0);
    }
}
