package org.ragwortrun.router.internal.flow;

import org.ragwortrun.proto.RequestState;

/** Maps an agent's reply to a query that sets a tombstone to the next action. */
final class QueryRule {
    private QueryRule() {}

    /**
     * Returns the next action.
     *
     * @param incarnation incarnation of the agent that the request was sent to; a restarted agent has no record of it
     */
    static QueryAction decide(RequestState state, String incarnation) {
        if (!state.getAgentIncarnation().equals(incarnation)) {
            return QueryAction.UNKNOWN;
        }
        return switch (state.getState()) {
            case NEVER_SEEN -> state.getTombstone() ? QueryAction.NOT_RUN : QueryAction.UNKNOWN;
            case REFUSED -> QueryAction.NOT_RUN;
            case QUEUED, RUNNING, FINISHED -> QueryAction.ATTACH;
            case ANSWER_DROPPED -> QueryAction.ANSWER_EXPIRED;
            default -> QueryAction.UNKNOWN;
        };
    }
}
