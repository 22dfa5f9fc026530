package org.ragwortrun.replication.internal;

import java.util.List;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.ragwortrun.core.log.Event;
import org.ragwortrun.proto.LogEntry;
import org.ragwortrun.proto.MemberSet;
import org.ragwortrun.replication.StateMachine;

/** Applies committed entries to a state machine and tracks the log size since the last snapshot. */
final class Applier {
    private static final Logger LOG = LogManager.getLogger(Applier.class);

    private static final byte[] NO_REPLY = {};

    private final int group;
    private final StateMachine machine;
    private final PendingCommands pendingCommands;
    private final HostContext host;
    private final long started;
    private final long replayTo;
    private MemberSet members;
    private long term;
    private long entriesSinceSnapshot;
    private long bytesSinceSnapshot;
    private long replayed;
    private boolean replaying;
    private volatile long appliedIndex;

    Applier(
            int group,
            StateMachine machine,
            SnapshotMeta at,
            PendingCommands waiting,
            HostContext host,
            long replayTo) {
        this.group = group;
        this.machine = machine;
        this.pendingCommands = waiting;
        this.host = host;
        this.replayTo = replayTo;
        started = host.clock().getAsLong();
        members = at.members();
        term = at.term();
        appliedIndex = at.index();
        replaying = replayTo > at.index();
    }

    StateMachine machine() {
        return machine;
    }

    long appliedIndex() {
        return appliedIndex;
    }

    void apply(List<LogEntry> batch) {
        for (LogEntry e : batch) {
            byte[] reply = NO_REPLY;
            if (e.hasCommand()) {
                reply = machine.apply(e.getIndex(), e.getCommand().toByteArray());
            } else if (e.hasMembers()) {
                members = e.getMembers();
            }
            // Set before the reply, so that the caller sees the entry as applied once it has the reply.
            appliedIndex = e.getIndex();
            pendingCommands.complete(e.getIndex(), e.getTerm(), reply);
            term = e.getTerm();
            bytesSinceSnapshot += e.getSerializedSize();
        }
        entriesSinceSnapshot += batch.size();
        host.metrics().count("replication_applied", batch.size());
        if (replaying) {
            replayed += batch.size();
            reportReplay();
        }
    }

    /** Updates the position after the state machine has loaded a received snapshot. */
    void onSnapshotRestored(SnapshotMeta meta) {
        members = meta.members();
        term = meta.term();
        appliedIndex = meta.index();
        resetCounters();
        pendingCommands.failWithUnknownOutcome(index -> index <= meta.index(), "a snapshot replaced the entry");
    }

    SnapshotMeta position() {
        return new SnapshotMeta(appliedIndex, term, members);
    }

    boolean hasReachedLimit(long maxEntries, long maxBytes) {
        return entriesSinceSnapshot >= maxEntries || bytesSinceSnapshot >= maxBytes;
    }

    void resetCounters() {
        entriesSinceSnapshot = 0;
        bytesSinceSnapshot = 0;
    }

    private void reportReplay() {
        if (appliedIndex < replayTo) {
            return;
        }
        replaying = false;
        Event.of("group-replayed")
                .with("group", group)
                .with("entries", replayed)
                .with("index", appliedIndex)
                .with("ms", (host.clock().getAsLong() - started) / 1_000_000)
                .info(LOG);
    }
}
