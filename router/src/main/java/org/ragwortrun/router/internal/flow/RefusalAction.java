package org.ragwortrun.router.internal.flow;

/** The next action when an agent refuses a dispatch or an attach call. */
enum RefusalAction {
    /** The request did not run: try another endpoint. */
    TRY_ANOTHER,
    /** The agent already has the request: attach to it. */
    ATTACH,
    /** The refusal is final for the caller. */
    FINAL,
    /** It is unknown whether the request ran: resume it if it is repeatable. */
    UNCERTAIN
}
