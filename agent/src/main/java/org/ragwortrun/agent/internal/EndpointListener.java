package org.ragwortrun.agent.internal;

/** Receives the events of one call on the reactor thread. */
interface EndpointListener {
    void onEvent(EndpointEvent event);

    /** Called after each window of the answer; reading is paused until {@link EndpointCall#readMore} is called. */
    void onPaused();
}
