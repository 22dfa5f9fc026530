package org.ragwortrun.agent.internal;

/** A request that was sent to the endpoint. Thread-safe. */
interface EndpointCall {
    /** Cancels the request and discards further data of the answer. */
    void cancel();

    /** Resumes reading the answer if reading is paused. */
    void readMore();
}
