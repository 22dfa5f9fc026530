package org.ragwortrun.routing;

import java.time.Duration;
import java.util.List;

/**
 * Decides when requests may start on an endpoint, so that their KV cache fits into its memory. Used by one thread.
 *
 * <p>A request that is offered gets its outcome at once or, if it waits, from a later {@link #poll}.
 */
public interface KvAdmission {
    /**
     * What must be known of a request.
     *
     * @param id unique among the requests that wait or run
     * @param priority lower numbers go first
     * @param maxOutput output that it may produce
     */
    record Demand(String id, String route, int priority, long promptTokens, long maxOutput) {}

    /** Requests at a time, and tokens of KV cache or 0 if the endpoint has no such bound. */
    record Capacity(int slots, long kvTokens) {}

    /** What becomes of a request. */
    sealed interface Outcome {
        Demand demand();

        /** It may start now. */
        record Admitted(Demand demand) implements Outcome {}

        /** It waits in the queue. */
        record Waiting(Demand demand) implements Outcome {}

        /** There is no room, and none is expected within the bound of the wait. */
        record Full(Demand demand, Duration retryAfter) implements Outcome {}

        /** It does not fit into an empty endpoint. */
        record TooLarge(Demand demand) implements Outcome {}
    }

    Outcome offer(Demand demand, Capacity capacity);

    /** Returns the requests whose wait has ended, in the order in which they start. */
    List<Outcome> poll(Capacity capacity);

    /** An admitted request has produced so many tokens. */
    void grown(String id, long outputTokens);

    /** A request has ended, or is no longer wanted. */
    void ended(String id);

    /** The endpoint reported the tokens that it uses and its preemptions since it started. */
    void onLoad(long kvUsedTokens, long preemptions);

    /** Returns the tokens that are forecast for the running requests. */
    long held();
}
