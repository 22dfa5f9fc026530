package org.ragwortrun.ledger;

import org.ragwortrun.core.time.Time;

/** Time that stands still until a test moves it. Both clocks show the same. */
final class ManualTime implements Time {
    private long nanos;

    ManualTime(long startMs) {
        nanos = startMs * 1_000_000;
    }

    void advanceMillis(long by) {
        nanos += by * 1_000_000;
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
