package org.ragwortrun.router.internal.pool;

import org.ragwortrun.proto.Usage;

/** Tokens that are reserved for one request. The first of its ending methods counts. */
public interface Spending {
    /** Ends the reservation with what the request used, and reports the bill. */
    void bill(Usage.Builder usage);

    /** Ends the reservation of a request that is not billed, because it did not run or its caller got nothing. */
    void release();
}
