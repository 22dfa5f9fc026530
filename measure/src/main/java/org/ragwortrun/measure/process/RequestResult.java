package org.ragwortrun.measure.process;

/**
 * Result of a request as its caller sees it.
 *
 * @param outcome outcome of the request
 * @param refusal last problem document that the caller received, or empty if none
 */
record RequestResult(RequestOutcome outcome, String refusal) {}
