package org.ragwortrun.ledger;

import org.ragwortrun.core.time.Time;

/** Clock that advances only when a test calls {@link #advanceMillis}. Both time sources show the same time. */
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
