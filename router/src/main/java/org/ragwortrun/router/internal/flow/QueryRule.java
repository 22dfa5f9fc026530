package org.ragwortrun.router.internal.flow;

import org.ragwortrun.proto.RequestState;

/** Decides what follows from an agent's answer to a query with tombstone. */
final class QueryRule {
    private QueryRule() {}

    /**
     * Decides.
     *
     * @param incarnation incarnation of the agent that the request was sent to; another one remembers nothing of it
     */
    static QueryStep decide(RequestState state, String incarnation) {
        if (!state.getAgentIncarnation().equals(incarnation)) {
            return QueryStep.UNKNOWN;
        }
        return switch (state.getState()) {
            case NEVER_SEEN -> state.getTombstone() ? QueryStep.NOT_RUN : QueryStep.UNKNOWN;
            case REFUSED -> QueryStep.NOT_RUN;
            case QUEUED, RUNNING, FINISHED -> QueryStep.ATTACH;
            case ANSWER_DROPPED -> QueryStep.ANSWER_EXPIRED;
            default -> QueryStep.UNKNOWN;
        };
    }
}
