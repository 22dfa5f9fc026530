package org.ragwortrun.router.internal.flow;

/** What follows from an agent's statement on a request. */
enum QueryStep {
    /** It did not run and, because of the tombstone, never will. */
    NOT_RUN,
    /** It runs or its answer is kept. */
    ATTACH,
    /** It ran, and its answer is gone. */
    ANSWER_EXPIRED,
    /** The agent cannot tell. */
    UNKNOWN
}
