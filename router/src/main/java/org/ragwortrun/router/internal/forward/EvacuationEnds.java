package org.ragwortrun.router.internal.forward;

import java.util.OptionalLong;

/** Knows when evacuations of data centers have ended. */
@FunctionalInterface
interface EvacuationEnds {
    /** Returns the monotonic time at which the last evacuation of a data center ended, if one has. */
    OptionalLong endedNanos(String dataCenter);
}
