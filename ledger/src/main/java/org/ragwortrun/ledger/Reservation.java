package org.ragwortrun.ledger;

import org.ragwortrun.proto.BudgetRef;

/**
 * Tokens reserved for the largest possible use of one request.
 *
 * @param id id of the reservation, unique in its pool
 * @param budget budget that is charged
 * @param grantId grant that provides the tokens; the dispatch and the usage report refer to it
 * @param tokens maximum number of tokens that the request may use
 */
public record Reservation(long id, BudgetRef budget, String grantId, long tokens) {}
