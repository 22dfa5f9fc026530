package org.ragwortrun.replication;

import java.util.List;
import java.util.Optional;

/**
 * State of one group as this member sees it.
 *
 * @param group number of the group
 * @param self this member
 * @param role role of this member
 * @param leader last known leader
 * @param term election term
 * @param commitIndex last entry known to be committed
 * @param appliedIndex last entry applied here
 * @param lastIndex last entry in this member's log
 * @param snapshotIndex last entry covered by this member's snapshot
 * @param leased whether this member held the lease when the status was read
 * @param voters members that count in quorums
 * @param learners members that receive the log but do not count in quorums
 */
public record GroupStatus(
        int group,
        MemberId self,
        Role role,
        Optional<MemberId> leader,
        long term,
        long commitIndex,
        long appliedIndex,
        long lastIndex,
        long snapshotIndex,
        boolean leased,
        List<MemberId> voters,
        List<MemberId> learners) {

    /** Role of a member in its group. */
    public enum Role {
        LEADER,
        FOLLOWER,
        CANDIDATE,
        /** Has no vote; waits to be added or promoted. */
        LEARNER,
        /** Closed, or stopped after a storage failure. */
        STOPPED
    }
}
