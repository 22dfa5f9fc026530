package org.ragwortrun.replication.internal;

import org.ragwortrun.proto.Member;

/** What a leader knows of one other member. */
final class Progress {
    /** Time before every acknowledgement. */
    static final long NEVER = Long.MIN_VALUE / 2;

    final Member member;
    /** Last entry known to be synced there. */
    long match;
    /** Next entry to send. */
    long next;
    /** While true, one message at a time is sent until the logs are known to meet. */
    boolean probing = true;

    boolean probeSent;
    long probeSince = NEVER;
    /** Sending time of the newest message that was acknowledged. */
    long acknowledged = NEVER;
    /** Index of the snapshot that is being sent, 0 for none. */
    long snapshot;

    long snapshotOffset;
    long chunkSent = NEVER;
    /** Commit index at the last heartbeat; a learner that has reached it is complete. */
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
