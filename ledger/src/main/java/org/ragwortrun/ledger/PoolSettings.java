package org.ragwortrun.ledger;

/**
 * Time settings of a {@link GrantPool}.
 *
 * @param demandMs period over which demand is measured and that a grant covers
 * @param idleMs time without reservations after which unused tokens are returned
 * @param scarcityMs time after a recall or an insufficient grant during which unused tokens are returned at once
 * @param maxGrantAgeMs age from which a grant serves no new requests
 * @param holdMs period of demand for which a router holds tokens, so that it can serve requests while a network
 *     partition separates it from the owner
 */
public record PoolSettings(long demandMs, long idleMs, long scarcityMs, long maxGrantAgeMs, long holdMs) {
    // Tokens beyond the current demand are returned on a recall, so there is no need to return them when idle.
    private static final long PARTITION_TOLERANT_IDLE_MS = 600_000;
    // Covers the owner's next grant result; a longer time would leave a router without tokens when a partition starts.
    private static final long PARTITION_TOLERANT_SCARCITY_MS = 100;

    public PoolSettings(long demandMs, long idleMs, long scarcityMs, long maxGrantAgeMs) {
        this(demandMs, idleMs, scarcityMs, maxGrantAgeMs, demandMs);
    }

    /**
     * Returns settings with which a router holds enough tokens to work without the owner for a while.
     *
     * @param holdMs period of demand that the tokens cover
     */
    public static PoolSettings partitionTolerant(long holdMs) {
        PoolSettings defaults = defaults();
        return new PoolSettings(
                defaults.demandMs,
                PARTITION_TOLERANT_IDLE_MS,
                PARTITION_TOLERANT_SCARCITY_MS,
                defaults.maxGrantAgeMs,
                holdMs);
    }

    /** Returns whether a router holds tokens for longer than the demand period, to tolerate partitions. */
    public boolean isPartitionTolerant() {
        return holdMs > demandMs;
    }

    /**
     * Returns the default settings. Grants are replaced every hour because the request register keeps a bill while a
     * grant older than the bill is open.
     */
    public static PoolSettings defaults() {
        return new PoolSettings(2_000, 10_000, 2_000, 3_600_000);
    }
}
