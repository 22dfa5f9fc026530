package org.ragwortrun.replication.internal;

import org.ragwortrun.proto.Member;

/** Replication state of one other member, as tracked by the leader. */
final class Progress {
    /** Sentinel time earlier than any acknowledgement. */
    static final long NEVER = Long.MIN_VALUE / 2;

    final Member member;
    /** Last entry known to be synced on the member. */
    long match;
    /** Next entry to send. */
    long next;
    /** While true, entries are sent only once until the last common entry of both logs is known. */
    boolean probing = true;

    /** Whether entries were sent while probing. They are sent again only after a reply to a heartbeat. */
    boolean probeSent;

    long probeSince = NEVER;
    /** Time at which the newest acknowledged message was sent. */
    long acknowledged = NEVER;
    /** Index of the snapshot that is being sent, 0 for none. */
    long snapshot;

    long snapshotOffset;
    long chunkSentAt = NEVER;
    /** Commit index at the last heartbeat; a learner that has reached it has caught up. */
    long catchUpTarget = Long.MAX_VALUE;

    Progress(Member member, long next) {
        this.member = member;
        this.next = next;
    }

    void startProbe(long from, long now) {
        next = Math.max(match + 1, from);
        probing = true;
        probeSent = false;
        probeSince = now;
    }
}
