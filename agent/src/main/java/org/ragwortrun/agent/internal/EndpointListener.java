package org.ragwortrun.agent.internal;

/** Receives the events of one call on the reactor's thread. */
interface EndpointListener {
    void onEvent(EndpointEvent event);

    /** Returns whether there is room for more of the answer. If not, {@link EndpointCall#readMore} follows later. */
    boolean hasRoom();
}
