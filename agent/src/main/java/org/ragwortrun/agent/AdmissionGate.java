package org.ragwortrun.agent;

/** Decides whether the endpoint has room for one more request. Not thread-safe. */
public interface AdmissionGate {
    /**
     * The expected size of a request.
     *
     * @param route route of the request, from which a gate may forecast its output
     * @param promptTokens upper bound of the prompt tokens
     * @param outputTokens maximum output tokens
     */
    record Demand(String route, long promptTokens, long outputTokens) {}

    /**
     * Configured capacity of the endpoint.
     *
     * @param slots number of requests that the endpoint runs concurrently
     * @param kvTokens size of the KV cache in tokens, 0 if the endpoint has none
     */
    record Capacity(int slots, long kvTokens) {}

    /** Load reported by the endpoint. */
    record EndpointLoad(int running, int waiting, long kvUsedTokens, long kvCapacityTokens, long preemptions) {}

    /** Capacity that is reserved for an admitted request. */
    interface Permit {
        /** Updates the number of output tokens that the request has produced. */
        void updateOutputTokens(long outputTokens);

        /** Releases the capacity when the request has ended. */
        void release();
    }

    /** Result of an attempt to admit a request. */
    sealed interface Decision {
        /** The request may start. */
        record Admitted(Permit permit) implements Decision {}

        /** There is no room now. */
        record Full() implements Decision {}

        /** The request does not fit even if the endpoint is idle. */
        record TooLarge() implements Decision {}
    }

    Decision admit(Demand demand, Capacity capacity);

    default void onLoad(EndpointLoad load) {}

    /** Returns the number of KV cache tokens reserved for admitted requests. */
    long reservedKvTokens();
}
