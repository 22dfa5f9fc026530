package org.ragwortrun.core.time;

import java.lang.management.ManagementFactory;
import java.util.concurrent.TimeUnit;

/** Start time of this process. Any earlier process on the same host and folder ended before it. */
public final class ProcessStart {
    private ProcessStart() {}

    /**
     * Returns the start as monotonic time in nanoseconds. The first call loads the management classes, which takes tens
     * of milliseconds.
     */
    public static long nanos() {
        long upMs = ManagementFactory.getRuntimeMXBean().getUptime();
        return System.nanoTime() - TimeUnit.MILLISECONDS.toNanos(upMs);
    }
}
