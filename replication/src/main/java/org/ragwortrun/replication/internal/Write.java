package org.ragwortrun.replication.internal;

import java.util.List;
import org.ragwortrun.proto.LogEntry;
import org.ragwortrun.proto.PersistedState;
import org.ragwortrun.proto.SnapshotChunk;

/** Change of the stored state requested by the core. Writes are performed in order and reported once synced. */
public sealed interface Write {
    /** Position in the order of all writes of this core. */
    long sequence();

    /** Replaces the state record. */
    record State(long sequence, PersistedState state) implements Write {}

    /** Appends entries. The first one may replace an earlier entry and all that follow it. */
    record Entries(long sequence, List<LogEntry> entries) implements Write {}

    /** Stores a chunk of a received snapshot. Offset 0 restarts the snapshot; the last chunk makes it the current one. */
    record Chunk(long sequence, SnapshotChunk chunk) implements Write {}

    /** Deletes all log entries; the log continues after the current snapshot. */
    record ResetLog(long sequence, long index) implements Write {}
}
