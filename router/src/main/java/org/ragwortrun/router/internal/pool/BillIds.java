package org.ragwortrun.router.internal.pool;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Names the bill of each request.
 *
 * <p>The ledger bills each name once. Callers choose the ids of their requests and may use one for several, so an id alone
 * would let them pay for the first request only.
 */
final class BillIds {
    private final String incarnation;
    private final AtomicLong last = new AtomicLong();

    /**
     * Creates a source.
     *
     * @param incarnation incarnation of this process
     */
    BillIds(String incarnation) {
        this.incarnation = incarnation;
    }

    /** Returns a name that no other request of any router has. */
    String next(String requestId) {
        return requestId + '/' + incarnation + '.' + last.incrementAndGet();
    }
}
