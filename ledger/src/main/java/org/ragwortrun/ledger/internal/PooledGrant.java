package org.ragwortrun.ledger.internal;

/** A grant as its router sees it. */
final class PooledGrant {
    private final String id;
    private final long amount;
    private final long issuedMs;
    private long reserved;
    private long used;
    private long returned;
    private long acknowledged;
    private boolean touched;

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

    /** Tells whether a request has reserved from this grant. */
    boolean isTouched() {
        return touched;
    }

    void reserve(long tokens) {
        touched = true;
        reserved += tokens;
    }

    /** Ends a reservation. Use beyond the reservation cannot occur, because the agent cuts the output there. */
    void settle(long tokens, long spent) {
        reserved -= tokens;
        used += spent;
    }

    /** Marks all free tokens as returned and tells whether there were any. */
    boolean returnFree() {
        return returnPart(free());
    }

    /** Marks a part of the free tokens as returned and tells whether it is more than nothing. */
    boolean returnPart(long tokens) {
        returned += tokens;
        return tokens > 0;
    }

    void acknowledge(long total) {
        acknowledged = Math.max(acknowledged, Math.min(total, returned));
    }

    /** Tells whether nothing remains to be spent, awaited or returned. */
    boolean isDone() {
        return reserved == 0 && free() == 0 && !isReturnUnacknowledged();
    }
}
