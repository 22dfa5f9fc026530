package org.ragwortrun.router.internal.flow;

/** What follows from the register's answer to a claim. */
enum ClaimStep {
    /** Dispatch the attempt that was claimed. */
    DISPATCH,
    /** Claim again as the successor of the attempt that the register names. */
    REPLACE,
    /** Find out at the agent what became of the attempt that is named. */
    ASK_AGENT,
    /** Answer from the register. */
    ANSWER_KEPT,
    /** Answer from the agent that ran it. */
    ATTACH,
    REFUSE_UNKNOWN,
    REFUSE_REUSED,
    REFUSE_EXPIRED,
    REFUSE_FUTURE
}
