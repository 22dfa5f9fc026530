package org.ragwortrun.core.log;

/** Tells how many log lines were dropped because the output was slower than the events. */
public final class LogDrops {
    private LogDrops() {}

    /** Returns the lines that were dropped since the process started. */
    public static long lines() {
        return LogBuffer.droppedLines();
    }
}
