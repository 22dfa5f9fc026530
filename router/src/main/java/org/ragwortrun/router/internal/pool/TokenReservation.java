package org.ragwortrun.router.internal.pool;

import org.ragwortrun.proto.Usage;

/** Tokens that are reserved for one request. Only the first call that ends the reservation has an effect. */
public interface TokenReservation {
    /** Ends the reservation with the tokens that the request used, and reports the bill. */
    void bill(Usage.Builder usage);

    /** Ends the reservation without a bill, because the request did not run or its caller received no answer. */
    void release();
}
