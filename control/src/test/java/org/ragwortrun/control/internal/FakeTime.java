package org.ragwortrun.control.internal;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;
import org.ragwortrun.core.time.Time;

/** A clock that tests advance. */
final class FakeTime implements Time {
    private final AtomicLong nanos = new AtomicLong();

    void advance(Duration by) {
        nanos.addAndGet(by.toNanos());
    }

    @Override
    public long nanos() {
        return nanos.get();
    }

    @Override
    public long wallMillis() {
        return 1_796_000_000_000L + millis();
    }
}
