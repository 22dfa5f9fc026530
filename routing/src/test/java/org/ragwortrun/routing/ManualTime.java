package org.ragwortrun.routing;

import org.ragwortrun.core.time.Time;

/** Time that stands still until a test moves it. Both clocks show the same. */
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
