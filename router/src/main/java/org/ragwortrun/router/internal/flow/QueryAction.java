package org.ragwortrun.router.internal.flow;

/** The next action after an agent's reply to a query for a request. */
enum QueryAction {
    /** The request did not run and, because of the tombstone, never will. */
    NOT_RUN,
    /** The request is running, or the agent has its answer: attach to it. */
    ATTACH,
    /** The request ran, but the agent no longer has its answer. */
    ANSWER_EXPIRED,
    /** The outcome is unknown. */
    UNKNOWN
}
