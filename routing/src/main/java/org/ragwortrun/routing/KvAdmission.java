package org.ragwortrun.routing;

import java.time.Duration;
import java.util.List;

/**
 * Decides when requests may start on an endpoint, so that their KV cache fits into its memory. Not thread-safe.
 *
 * <p>{@link #offer} decides on a request at once or puts it into a queue; {@link #poll} later returns its outcome.
 */
public interface KvAdmission {
    /**
     * Resources that a request needs.
     *
     * @param id id, unique among the waiting and running requests
     * @param priority lower numbers go first
     * @param maxOutput maximum output in tokens
     */
    record Demand(String id, String route, int priority, long promptTokens, long maxOutput) {}

    /** Concurrent requests and KV cache tokens that an endpoint can hold; 0 tokens if its cache is not limited. */
    record Capacity(int slots, long kvTokens) {}

    /** Outcome of an admission. */
    sealed interface Outcome {
        Demand demand();

        /** The request may start now. */
        record Admitted(Demand demand) implements Outcome {}

        /** The request waits in the queue. */
        record Waiting(Demand demand) implements Outcome {}

        /** The request is refused, because the queue is full or the wait would be too long. */
        record Full(Demand demand, Duration retryAfter) implements Outcome {}

        /** The request does not fit even into an idle endpoint. */
        record TooLarge(Demand demand) implements Outcome {}
    }

    Outcome offer(Demand demand, Capacity capacity);

    /**
     * Returns the outcomes of requests that have left the queue; admitted ones are in the order in which they start.
     */
    List<Outcome> poll(Capacity capacity);

    /** Records the output of an admitted request so far. */
    void onOutputProgress(String id, long outputTokens);

    /** Removes a request that has ended or was cancelled. */
    void onEnded(String id);

    /** Records the KV cache tokens in use and the preemptions since the start of the endpoint, as it reported them. */
    void onLoad(long kvUsedTokens, long preemptions);

    /** Returns the KV cache tokens reserved for the running requests. */
    long reservedTokens();
}
