package org.ragwortrun.router.internal.flow;

/** States of one request in the router. */
enum FlowState {
    /** Waits for the reservation of tokens. */
    RESERVING,
    /** Waits for the reply of the register of request ids. */
    CLAIMING,
    /** Waits before the next attempt. */
    BACKING_OFF,
    /** Queries an agent for the outcome of an earlier attempt, or waits for a connection to that agent. */
    RECOVERING,
    /** The request has been sent to an agent. */
    SENT,
    /** The caller has its final answer or has disconnected; an agent still runs the request, and its bill is pending. */
    DRAINING,
    /** The request has ended. */
    DONE
}
