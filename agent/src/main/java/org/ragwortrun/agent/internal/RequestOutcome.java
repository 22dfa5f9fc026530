package org.ragwortrun.agent.internal;

import org.ragwortrun.core.refusal.RefusalReason;
import org.ragwortrun.proto.RunState;

/**
 * How a request ended, and what is billed.
 *
 * @param failure why the answer is incomplete, empty if it is complete
 * @param run whether the endpoint ran the request
 * @param tokens tokens to bill
 * @param reportsUsage whether the agent reports the usage; false if a later attempt will report it
 */
record RequestOutcome(String failure, RunState run, long tokens, boolean reportsUsage) {
    /** Cancel reason of a router that will resume the request in a later attempt, which then reports the usage. */
    static final String RESUME_REASON = "resume";

    static final String CANCELLED = "cancelled";
    private static final int FIRST_SERVER_ERROR = 500;

    /** The endpoint sent the complete answer. */
    static RequestOutcome completed(AcceptedRequest r) {
        boolean failed = r.status() >= FIRST_SERVER_ERROR;
        boolean repeatable = r.dispatch().getRepeatable();
        if (failed && repeatable) {
            return new RequestOutcome(RefusalReason.ENDPOINT_FAILED.code(), RunState.RUN_RAN, 0, false);
        }
        long tokens = r.isText() ? r.meter().billed() : r.dispatch().getReserved();
        return new RequestOutcome("", RunState.RUN_RAN, failed ? 0 : tokens, true);
    }

    /** The endpoint failed after the request was sent. */
    static RequestOutcome endpointFailed(AcceptedRequest r) {
        String failure = RefusalReason.ENDPOINT_FAILED.code();
        if (r.isText()) {
            boolean produced = r.meter().outputTokens() > r.dispatch().getResumeTokens();
            RunState run = produced ? RunState.RUN_RAN : RunState.RUN_UNKNOWN;
            // A connected router retries or resumes the request, and the attempt that completes it reports the usage.
            return new RequestOutcome(
                    failure,
                    run,
                    r.meter().billed(),
                    produced && r.subscribers().isEmpty());
        }
        return plainFailure(r, failure);
    }

    /** The request reached its deadline. */
    static RequestOutcome timedOut(AcceptedRequest r) {
        String failure = RefusalReason.ENDPOINT_TIMEOUT.code();
        return r.isText()
                ? new RequestOutcome(failure, RunState.RUN_RAN, r.meter().billed(), true)
                : plainFailure(r, failure);
    }

    /** The router cancelled the request. */
    static RequestOutcome cancelled(AcceptedRequest r, String reason) {
        return r.isText()
                ? new RequestOutcome(CANCELLED, RunState.RUN_RAN, r.meter().billed(), !RESUME_REASON.equals(reason))
                : plainFailure(r, CANCELLED);
    }

    private static RequestOutcome plainFailure(AcceptedRequest r, String failure) {
        boolean answered = r.status() != 0;
        boolean settles = answered && !r.dispatch().getRepeatable();
        return new RequestOutcome(
                failure,
                answered ? RunState.RUN_RAN : RunState.RUN_UNKNOWN,
                settles ? r.dispatch().getReserved() : 0,
                settles);
    }
}
