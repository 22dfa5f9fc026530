package org.ragwortrun.core.log;

/** Count of the log lines that were dropped because the output was too slow. */
public final class DroppedLogLines {
    private DroppedLogLines() {}

    /** Returns the number of lines dropped since the process started. */
    public static long count() {
        return LogBuffer.droppedLines();
    }
}
