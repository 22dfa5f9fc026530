package org.ragwortrun.router.internal.flow;

/** What follows when an agent refuses a dispatch or an attachment. */
enum RefusedStep {
    /** Proven not run: try another endpoint. */
    TRY_ANOTHER,
    /** The agent has the request already. */
    ATTACH,
    /** The refusal is final for the caller. */
    FINAL,
    /** Whether it ran is not known: resume it if it is repeatable. */
    UNCERTAIN
}
