package org.ragwortrun.control.internal;

import org.ragwortrun.core.time.Time;

/**
 * Time at which a request arrived at this member.
 *
 * @param nanos monotonic time
 * @param wallMillis wall-clock time
 */
record Arrival(long nanos, long wallMillis) {
    static Arrival now(Time time) {
        return new Arrival(time.nanos(), time.wallMillis());
    }

    /** Returns the time since the arrival. The monotonic clock may have stood still while the host was suspended. */
    long ageMs(Time time) {
        return Math.max((time.nanos() - nanos) / 1_000_000, time.wallMillis() - wallMillis);
    }
}
