package org.ragwortrun.agent.internal;

/** A request that an endpoint is running. Usable from any thread. */
interface EndpointCall {
    /** Asks the endpoint to stop and drops what it still sends. */
    void cancel();

    /** Reads on if reading had stopped because the answer was not taken. */
    void readMore();
}
