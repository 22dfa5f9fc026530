package org.ragwortrun.agent;

/** Decides whether the endpoint has room for one more request. Used by one thread. */
public interface AdmissionGate {
    /**
     * What the gate needs to know of a request.
     *
     * @param route route by which output is forecast
     * @param promptTokens bound of the prompt in tokens
     * @param outputTokens output that the request may produce
     */
    record Demand(String route, long promptTokens, long outputTokens) {}

    /**
     * Capacity that the configuration states.
     *
     * @param slots requests that the endpoint runs at a time
     * @param kvTokens tokens of KV cache, 0 if the endpoint has none
     */
    record Capacity(int slots, long kvTokens) {}

    /** Load that the endpoint reported. */
    record EndpointLoad(int running, int waiting, long kvUsedTokens, long kvCapacityTokens, long preemptions) {}

    /** Place of an admitted request. */
    interface Place {
        /** The request has produced so many output tokens. */
        void grown(long outputTokens);

        /** The request has ended. */
        void release();
    }

    /** Result of an attempt to admit a request. */
    sealed interface Decision {
        /** The request may start. */
        record Admitted(Place place) implements Decision {}

        /** There is no room now. */
        record Full() implements Decision {}

        /** The request does not fit into an empty endpoint. */
        record TooLarge() implements Decision {}
    }

    Decision admit(Demand demand, Capacity capacity);

    default void onLoad(EndpointLoad load) {}

    /** Returns the tokens of KV cache that the gate holds for admitted requests. */
    long kvTokensHeld();
}
