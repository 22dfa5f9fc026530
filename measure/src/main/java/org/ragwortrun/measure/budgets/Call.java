package org.ragwortrun.measure.budgets;

import org.ragwortrun.proto.BudgetRef;

/**
 * One request of a caller.
 *
 * @param id request id
 * @param dataCenter data center whose router the caller reaches first
 * @param atMicros time of arrival
 * @param worst tokens to reserve
 * @param used tokens that the endpoint uses
 * @param durationMicros time that the endpoint takes
 * @param order whether the request may run once at most
 * @param keyed whether the request carries an idempotency key, so that it is claimed and its caller may retry
 * @param retryMicros time after arrival at which the caller sends it again though nothing failed, 0 for never
 */
record Call(
        String id,
        BudgetRef budget,
        int dataCenter,
        long atMicros,
        long worst,
        long used,
        long durationMicros,
        boolean order,
        boolean keyed,
        long retryMicros) {}
