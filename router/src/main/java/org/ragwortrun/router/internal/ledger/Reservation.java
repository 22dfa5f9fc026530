package org.ragwortrun.router.internal.ledger;

/** Tokens set aside from one grant for one request. The first of its ending methods counts, later ones do nothing. */
public interface Reservation {
    String grantId();

    /** Ends the reservation with the tokens that were billed; the rest can be reserved again at once. */
    void settle(long tokens);

    /** Ends the reservation of a request that certainly did not run. */
    void release();

    /**
     * Leaves the reservation open because the bill of its request is not known. Its tokens stay set aside until the
     * shard tells what was billed, since an agent may still settle them against the grant.
     */
    void hold(String requestId);
}
