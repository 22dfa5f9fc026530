package org.ragwortrun.replication.internal;

import java.util.Optional;
import org.ragwortrun.proto.Member;
import org.ragwortrun.proto.MemberSet;
import org.ragwortrun.replication.GroupStatus.Role;

/**
 * Immutable state of a core after a step, for readers on other threads. Times are readings of the host's clock.
 *
 * @param leaseUntil end of the lease, or {@link Progress#NEVER}
 * @param readyIndex entry that must be applied before a leader may serve reads
 * @param logBytes size of the log entries in memory
 */
record CoreView(
        Role role,
        Optional<Member> leader,
        long term,
        long commitIndex,
        long lastIndex,
        long snapshotIndex,
        MemberSet members,
        long leaseUntil,
        long readyIndex,
        boolean sendingSnapshot,
        long logBytes) {

    static CoreView of(RaftCore core, long now) {
        return new CoreView(
                core.role(),
                core.leader(),
                core.term(),
                core.commitIndex(),
                core.lastIndex(),
                core.snapshot().index(),
                core.members(),
                core.leaseUntil(now),
                core.readyIndex(),
                core.isSendingSnapshot(now),
                core.logBytes());
    }

    /** Returns the view of a member that has stopped. */
    CoreView stopped() {
        return new CoreView(
                Role.STOPPED,
                Optional.empty(),
                term,
                commitIndex,
                lastIndex,
                snapshotIndex,
                members,
                Progress.NEVER,
                Long.MAX_VALUE,
                false,
                0);
    }
}
