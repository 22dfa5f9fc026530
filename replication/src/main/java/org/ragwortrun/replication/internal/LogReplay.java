package org.ragwortrun.replication.internal;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.ragwortrun.proto.LogEntry;
import org.ragwortrun.replication.CorruptLogException;

/** Rebuilds the log after a snapshot from its records, in the order in which they were written. */
final class LogReplay {
    private final SnapshotMeta snapshot;
    private final List<LogEntry> entries = new ArrayList<>();
    private boolean dropped;

    LogReplay(SnapshotMeta snapshot) {
        this.snapshot = snapshot;
    }

    void add(Path file, long offset, LogEntry e) throws CorruptLogException {
        if (!entries.isEmpty()) {
            long first = entries.get(0).getIndex();
            long replaced = e.getIndex() - first;
            if (replaced > entries.size() && e.getIndex() <= snapshot.index() + 1) {
                // Files that a snapshot covers are deleted together, and a loss of power may keep some of them.
                entries.clear();
                replaced = 0;
            }
            if (replaced > entries.size()) {
                throw new CorruptLogException(
                        file, offset, "entry " + e.getIndex() + " follows entry " + (first + entries.size() - 1));
            }
            entries.subList((int) Math.max(0, replaced), entries.size()).clear();
        }
        entries.add(e);
    }

    boolean isDropped() {
        return dropped;
    }

    List<LogEntry> tail(Path file) throws CorruptLogException {
        if (entries.isEmpty()) {
            return List.of();
        }
        long covered = snapshot.index() - entries.get(0).getIndex() + 1;
        if (covered < 0) {
            throw new CorruptLogException(
                    file,
                    0,
                    "entries " + (snapshot.index() + 1) + " to "
                            + (entries.get(0).getIndex() - 1) + " are missing");
        }
        // A received snapshot is stored before the log that it replaces is deleted, so a crash in between leaves both.
        dropped = covered > entries.size()
                || covered > 0 && entries.get((int) covered - 1).getTerm() != snapshot.term();
        return dropped ? List.of() : List.copyOf(entries.subList((int) covered, entries.size()));
    }
}
