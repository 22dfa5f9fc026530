package org.ragwortrun.ledger;

/**
 * Times that govern a {@link GrantPool}.
 *
 * @param demandMs span over which demand is counted and for which a grant lasts
 * @param idleMs time without spending after which unused tokens are returned
 * @param tightMs time after a recall or a short grant during which unused tokens are returned at once
 * @param grantAgeMs age at which a grant is used for no further request
 * @param holdMs span of demand that a router holds, so that it outlasts a cut from the owner
 */
public record PoolSettings(long demandMs, long idleMs, long tightMs, long grantAgeMs, long holdMs) {
    // Holdings beyond the demand return when they are recalled, so they need not return when they are idle.
    private static final long LONG_IDLE_MS = 600_000;
    // Long enough for the owner's next answer; a longer one would leave a router without holdings when a cut begins.
    private static final long BRIEF_TIGHT_MS = 100;

    public PoolSettings(long demandMs, long idleMs, long tightMs, long grantAgeMs) {
        this(demandMs, idleMs, tightMs, grantAgeMs, demandMs);
    }

    /** Returns the usual times, with grants that last for a span without the owner. */
    public static PoolSettings outlasting(long holdMs) {
        PoolSettings usual = usual();
        return new PoolSettings(usual.demandMs, LONG_IDLE_MS, BRIEF_TIGHT_MS, usual.grantAgeMs, holdMs);
    }

    /** Tells whether a router holds more than its demand until the next answer of the owner. */
    public boolean isOutlasting() {
        return holdMs > demandMs;
    }

    /**
     * Returns the usual times. Grants are renewed each hour, so that the register can forget bills: it keeps a bill as
     * long as an older grant is open.
     */
    public static PoolSettings usual() {
        return new PoolSettings(2_000, 10_000, 2_000, 3_600_000);
    }
}
