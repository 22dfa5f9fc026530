package org.ragwortrun.ledger.internal;

import org.ragwortrun.proto.Usage;

/**
 * What was billed for a request.
 *
 * @param incarnation router incarnation whose grant paid
 * @param grant counter of the grant that paid
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
                GrantIds.counter(usage.getGrantId(), usage.getIncarnation()).orElse(0L),
                nowMs);
    }

    private static int clamp(long tokens) {
        return (int) Math.max(0, Math.min(Integer.MAX_VALUE, tokens));
    }

    /** Fields that many bills of an hour share, so that they are kept once. */
    record Profile(String service, String endpoint, String version, String route, int status) {
        static final Profile NONE = new Profile("", "", "", "", 0);
    }
}
