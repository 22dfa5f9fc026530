package org.ragwortrun.measure.process;

/**
 * A request that has ended for its caller.
 *
 * @param outcome how it ended
 * @param refusal last problem document that the caller got, empty if none
 */
record EndedRequest(RequestOutcome outcome, String refusal) {}
