package org.ragwortrun.router.internal.ledger;

/** Tokens reserved from one grant for one request. Only the first call that ends the reservation has an effect. */
public interface Reservation {
    String grantId();

    /** Ends the reservation with the tokens that were billed; the rest can be reserved by other requests at once. */
    void settle(long tokens);

    /** Ends the reservation of a request that is known not to have run. */
    void release();

    /**
     * Keeps the reservation open because the bill of its request is not known. Its tokens stay reserved until the shard
     * reports what was billed, since an agent may still settle them against the grant.
     */
    void hold(String requestId);
}
