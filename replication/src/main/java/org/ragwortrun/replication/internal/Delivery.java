package org.ragwortrun.replication.internal;

import java.util.List;
import org.ragwortrun.proto.LogEntry;

/** Committed state for the state machine, delivered in order. */
public sealed interface Delivery {
    /** Entries to apply. */
    record Entries(List<LogEntry> entries) implements Delivery {}

    /** Replaces the state of the state machine with the stored snapshot. */
    record Snapshot(SnapshotMeta meta) implements Delivery {}
}
