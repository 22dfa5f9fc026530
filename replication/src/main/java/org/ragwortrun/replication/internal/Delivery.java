package org.ragwortrun.replication.internal;

import java.util.List;
import org.ragwortrun.proto.LogEntry;

/** Committed state that goes to the state machine, in order. */
public sealed interface Delivery {
    /** Entries to apply. */
    record Entries(List<LogEntry> entries) implements Delivery {}

    /** The state machine is to be replaced by the stored snapshot. */
    record Snapshot(SnapshotMeta meta) implements Delivery {}
}
