package org.ragwortrun.measure.process;

/** Outcome of a request as its caller sees it. */
enum RequestOutcome {
    /** Complete and correct answer. */
    ANSWERED,
    /** Complete but incorrect answer. */
    WRONG,
    /** Refused, and reported as not run. */
    NOT_RUN,
    /** Refused, and reported as run; the answer is not available. */
    RAN,
    /** Refused because the endpoint failed while it ran the request; there is no answer and no charge. */
    FAILED,
    /** Refused with an unknown outcome, or not answered within the maximum number of attempts. */
    UNKNOWN
}
