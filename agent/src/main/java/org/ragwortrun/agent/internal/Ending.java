package org.ragwortrun.agent.internal;

import org.ragwortrun.core.refusal.RefusalReason;
import org.ragwortrun.proto.RunState;

/**
 * How a request ended, and what is billed.
 *
 * @param failure why the answer is not whole, empty if it is
 * @param run whether the endpoint ran the request
 * @param tokens tokens to bill
 * @param settles whether the agent reports the usage; it does not where another attempt will carry the bill
 */
record Ending(String failure, RunState run, long tokens, boolean settles) {
    /** Cancel reason of a router that will resume the request later, so that the last attempt carries the bill. */
    static final String RESUME = "resume";

    static final String CANCELLED = "cancelled";
    private static final int FIRST_SERVER_ERROR = 500;

    /** The endpoint answered to the end. */
    static Ending whole(RunningRequest r) {
        boolean failed = r.status() >= FIRST_SERVER_ERROR;
        boolean repeatable = r.dispatch().getRepeatable();
        if (failed && repeatable) {
            return new Ending(RefusalReason.ENDPOINT_FAILED.code(), RunState.RUN_RAN, 0, false);
        }
        long tokens = r.isText() ? r.meter().billed() : r.dispatch().getReserved();
        return new Ending("", RunState.RUN_RAN, failed ? 0 : tokens, true);
    }

    /** The endpoint failed after the request was sent. */
    static Ending broken(RunningRequest r) {
        String failure = RefusalReason.ENDPOINT_FAILED.code();
        if (r.isText()) {
            boolean produced = r.meter().outputTokens() > r.dispatch().getResumeTokens();
            RunState run = produced ? RunState.RUN_RAN : RunState.RUN_UNKNOWN;
            // A connected router repeats or resumes the request, and the attempt that completes it carries the bill.
            return new Ending(
                    failure,
                    run,
                    r.meter().billed(),
                    produced && r.answerReaders().isEmpty());
        }
        return plainFailure(r, failure);
    }

    /** The request's time ran out. */
    static Ending timedOut(RunningRequest r) {
        String failure = RefusalReason.ENDPOINT_TIMEOUT.code();
        return r.isText() ? new Ending(failure, RunState.RUN_RAN, r.meter().billed(), true) : plainFailure(r, failure);
    }

    /** The router gave the request up. */
    static Ending cancelled(RunningRequest r, String reason) {
        return r.isText()
                ? new Ending(CANCELLED, RunState.RUN_RAN, r.meter().billed(), !RESUME.equals(reason))
                : plainFailure(r, CANCELLED);
    }

    private static Ending plainFailure(RunningRequest r, String failure) {
        boolean answered = r.status() != 0;
        boolean settles = answered && !r.dispatch().getRepeatable();
        return new Ending(
                failure,
                answered ? RunState.RUN_RAN : RunState.RUN_UNKNOWN,
                settles ? r.dispatch().getReserved() : 0,
                settles);
    }
}
