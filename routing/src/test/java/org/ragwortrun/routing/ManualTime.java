package org.ragwortrun.routing;

import org.ragwortrun.core.time.Time;

/** A clock that only a test advances. Monotonic and wall-clock time are the same. */
final class ManualTime implements Time {
    private long nanos;

    void advanceNanos(long by) {
        nanos += by;
    }

    @Override
    public long nanos() {
        return nanos;
    }

    @Override
    public long wallMillis() {
        return nanos / 1_000_000;
    }
}
