package org.ragwortrun.ledger.internal;

/** A grant in the pool of its router. */
final class PooledGrant {
    private final String id;
    private final long amount;
    private final long issuedMs;
    private long reserved;
    private long used;
    private long returned;
    private long acknowledged;
    private boolean everReserved;

    PooledGrant(String id, long amount, long issuedMs) {
        this.id = id;
        this.amount = amount;
        this.issuedMs = issuedMs;
    }

    String id() {
        return id;
    }

    long issuedMs() {
        return issuedMs;
    }

    long free() {
        return amount - reserved - used - returned;
    }

    long returned() {
        return returned;
    }

    boolean isReturnUnacknowledged() {
        return returned > acknowledged;
    }

    /** Returns whether a request has ever reserved tokens of this grant. */
    boolean wasReserved() {
        return everReserved;
    }

    void reserve(long tokens) {
        everReserved = true;
        reserved += tokens;
    }

    /** Ends a reservation. The usage cannot exceed it because the agent truncates the output at that limit. */
    void settle(long tokens, long spent) {
        reserved -= tokens;
        used += spent;
    }

    /** Marks all free tokens as returned and returns whether there were any. */
    boolean returnFree() {
        return returnTokens(free());
    }

    /** Marks the given free tokens as returned and returns whether the number is positive. */
    boolean returnTokens(long tokens) {
        returned += tokens;
        return tokens > 0;
    }

    void acknowledge(long total) {
        acknowledged = Math.max(acknowledged, Math.min(total, returned));
    }

    /** Returns whether no tokens are free, reserved or awaiting an acknowledgement of their return. */
    boolean isFinished() {
        return reserved == 0 && free() == 0 && !isReturnUnacknowledged();
    }
}
