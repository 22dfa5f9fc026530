package org.ragwortrun.router.internal.flow;

/** The next action after the register's reply to a claim. */
enum ClaimAction {
    /** Dispatch the attempt that was claimed. */
    DISPATCH,
    /** Claim again, replacing the attempt that the register names. */
    REPLACE,
    /** Query the agent for the outcome of the attempt that the register names. */
    ASK_AGENT,
    /** Send the answer that the register stored. */
    ANSWER_KEPT,
    /** Attach to the agent that ran the attempt. */
    ATTACH,
    REFUSE_UNKNOWN,
    REFUSE_REUSED,
    REFUSE_EXPIRED,
    REFUSE_FUTURE
}
