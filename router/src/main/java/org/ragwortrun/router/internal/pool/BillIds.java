package org.ragwortrun.router.internal.pool;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Generates a unique id for the bill of each request.
 *
 * <p>The ledger bills each id once. Callers choose the ids of their requests and may use the same id for several, so with
 * the request id alone they would pay for the first request only.
 */
final class BillIds {
    private final String incarnation;
    private final AtomicLong counter = new AtomicLong();

    /**
     * Creates a generator.
     *
     * @param incarnation incarnation of this process
     */
    BillIds(String incarnation) {
        this.incarnation = incarnation;
    }

    /** Returns a bill id that no other request of any router has. */
    String next(String requestId) {
        return requestId + '/' + incarnation + '.' + counter.incrementAndGet();
    }
}
