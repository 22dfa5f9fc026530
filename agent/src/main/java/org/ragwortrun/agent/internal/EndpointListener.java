package org.ragwortrun.agent.internal;

/** Receives the events of one call on the reactor's thread. */
interface EndpointListener {
    void onEvent(EndpointEvent event);

    /** Reading has stopped after a window of the answer until {@link EndpointCall#readMore}. */
    void onPaused();
}
