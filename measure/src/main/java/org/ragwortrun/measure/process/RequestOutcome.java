package org.ragwortrun.measure.process;

/** How a request ended for its caller. */
enum RequestOutcome {
    /** The whole right answer. */
    ANSWERED,
    /** An answer that is not the right one. */
    WRONG,
    /** Refused as not run. */
    NOT_RUN,
    /** Refused as run, without the answer. */
    RAN,
    /** Refused because the endpoint failed while it ran; carries no answer and no tokens are owed. */
    FAILED,
    /** Refused with an unknown outcome, or never answered within the tries. */
    UNKNOWN
}
