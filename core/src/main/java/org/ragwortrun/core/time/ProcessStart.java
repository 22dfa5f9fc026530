package org.ragwortrun.core.time;

import java.lang.management.ManagementFactory;
import java.util.concurrent.TimeUnit;

/** Tells when this process started, which is after an earlier process on the same host and folder has ended. */
public final class ProcessStart {
    private ProcessStart() {}

    /**
     * Returns the start as monotonic time in nanoseconds. The first call loads the management classes, which takes some
     * tens of milliseconds.
     */
    public static long nanos() {
        long upMs = ManagementFactory.getRuntimeMXBean().getUptime();
        return System.nanoTime() - TimeUnit.MILLISECONDS.toNanos(upMs);
    }
}
