package org.ragwortrun.router.internal.flow;

/** States of one request in the router. */
enum FlowState {
    /** Waits for tokens. */
    RESERVING,
    /** Waits for the register of request ids. */
    CLAIMING,
    /** Waits before the next attempt. */
    BACKING_OFF,
    /** Asks an agent what became of an earlier attempt, or waits for its connection. */
    RECOVERING,
    /** An agent has the request. */
    SENT,
    /** The caller has its final answer or has gone; an agent still runs the request and its bill is awaited. */
    DRAINING,
    /** Nothing is awaited. */
    DONE
}
