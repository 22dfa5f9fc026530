package org.ragwortrun.ledger;

import org.ragwortrun.proto.BudgetRef;

/**
 * Tokens set aside for the worst case of one request.
 *
 * @param id number of the reservation in its pool
 * @param budget budget that pays
 * @param grantId grant from which the tokens come; the dispatch and the usage name it
 * @param tokens most tokens that the request may use
 */
public record Reservation(long id, BudgetRef budget, String grantId, long tokens) {}
