package org.ragwortrun.replication.internal;

import java.util.List;
import org.ragwortrun.proto.LogEntry;
import org.ragwortrun.proto.PersistedState;
import org.ragwortrun.proto.SnapshotChunk;

/** A change of the stored state that the core asks for. Writes are performed in order and reported once synced. */
public sealed interface Write {
    /** Position in the order of all writes of this core. */
    long sequence();

    /** Replaces the state record. */
    record State(long sequence, PersistedState state) implements Write {}

    /** Appends entries. The first one may replace an earlier entry and all that follow it. */
    record Entries(long sequence, List<LogEntry> entries) implements Write {}

    /** Stores a part of a snapshot that is being received; offset 0 starts anew, the last part puts it in force. */
    record Chunk(long sequence, SnapshotChunk chunk) implements Write {}

    /** Drops all log entries; the log continues after the snapshot that is in force. */
    record ResetLog(long sequence, long index) implements Write {}
}
