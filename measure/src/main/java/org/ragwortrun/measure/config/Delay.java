package org.ragwortrun.measure.config;

import java.util.concurrent.TimeUnit;

/**
 * The time for which a change was acknowledged and not seen in force at a router.
 *
 * @param arrival the change and the router
 * @param nanos time from the acknowledgement to the last moment that counts
 * @param whole whether the change was seen in force at that moment, and not just until then without it
 */
record Delay(Arrival arrival, long nanos, boolean whole) {
    double ms() {
        return nanos / (double) TimeUnit.MILLISECONDS.toNanos(1);
    }
}
