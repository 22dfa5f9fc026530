package org.ragwortrun.replication.internal;

import java.util.List;
import org.ragwortrun.proto.LogEntry;
import org.ragwortrun.proto.PersistedState;

/** Stored state of a member, read on start. The entries follow the snapshot without a gap. */
public record RestoredState(PersistedState state, SnapshotMeta snapshot, List<LogEntry> entries) {}
