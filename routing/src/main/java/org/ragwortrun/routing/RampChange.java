package org.ragwortrun.routing;

/** Changes of a ramp that a coordinator logs or sends to routers. */
public enum RampChange {
    NONE,
    BEGUN,
    /** The rate has changed. */
    RATE,
    /** The endpoint stays cold for longer than the routers were told. */
    EXTENDED,
    ENDED
}
