package org.ragwortrun.measure.budgets;

import org.ragwortrun.proto.BudgetRef;

/**
 * One request of a caller.
 *
 * @param id request id
 * @param dataCenter data center whose router receives the call first
 * @param atMicros time of arrival
 * @param maxTokens tokens to reserve
 * @param usedTokens tokens that the endpoint uses
 * @param durationMicros time that the endpoint takes
 * @param order whether the request must run at most once
 * @param keyed whether the request carries an idempotency key, so that it is claimed and its caller may retry
 * @param retryMicros time after arrival at which the caller retries although nothing failed, or 0 for never
 */
record Call(
        String id,
        BudgetRef budget,
        int dataCenter,
        long atMicros,
        long maxTokens,
        long usedTokens,
        long durationMicros,
        boolean order,
        boolean keyed,
        long retryMicros) {}
