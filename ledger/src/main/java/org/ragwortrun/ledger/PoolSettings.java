package org.ragwortrun.ledger;

/**
 * Times that govern a {@link GrantPool}.
 *
 * @param demandMs span over which demand is counted and for which a grant lasts
 * @param idleMs time without spending after which unused tokens are returned
 * @param tightMs time after a recall or a short grant during which unused tokens are returned at once
 * @param grantAgeMs age at which a grant is used for no further request
 */
public record PoolSettings(long demandMs, long idleMs, long tightMs, long grantAgeMs) {
    /**
     * Returns the usual times. Grants are renewed each hour, so that the register can forget bills: it keeps a bill as
     * long as an older grant is open.
     */
    public static PoolSettings usual() {
        return new PoolSettings(2_000, 10_000, 2_000, 3_600_000);
    }
}
