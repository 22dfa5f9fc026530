package org.ragwortrun.router.internal.host;

import com.sun.management.OperatingSystemMXBean;
import java.lang.management.ManagementFactory;
import java.util.function.LongSupplier;

/** Reads the processor time of this process. */
public final class ProcessorTime {
    private ProcessorTime() {}

    /** Returns a supplier of the processor time in nanoseconds, which is 0 where it cannot be read. */
    public static LongSupplier ofProcess() {
        return ManagementFactory.getOperatingSystemMXBean() instanceof OperatingSystemMXBean system
                ? () -> Math.max(0, system.getProcessCpuTime())
                : () -> 0;
    }
}
