package org.ragwortrun.replication.internal;

import java.util.Optional;
import org.ragwortrun.core.log.Event;
import org.ragwortrun.proto.GroupMessage;
import org.ragwortrun.proto.Member;
import org.ragwortrun.proto.TakeOver;

/**
 * Transfers leadership to the preferred member, so that leaders are distributed over the members after restarts.
 *
 * <p>The leader first rejects new commands. When the target has every entry and all entries are committed, the leader
 * releases its lease for the rest of its term and then requests the target to start an election.
 */
final class LeadershipTransfer {
    // Election timeouts without a transfer after an election or a failed attempt, so that an unstable preferred member
    // does not cause frequent transfers.
    private static final int COOLDOWN_TIMEOUTS = 10;

    private final RaftCore core;
    private final Leadership leadership;
    private long notBefore;
    private long deadline;
    private boolean proposalsPaused;
    private boolean leaseReleased;

    LeadershipTransfer(RaftCore core, Leadership leadership, long now) {
        this.core = core;
        this.leadership = leadership;
        notBefore = now + COOLDOWN_TIMEOUTS * core.settings().electionTimeout();
    }

    /** Returns whether new commands are rejected. */
    boolean isPausingProposals() {
        return proposalsPaused;
    }

    /** Returns whether the lease has been released. */
    boolean hasReleasedLease() {
        return leaseReleased;
    }

    void advance(long now) {
        if (leaseReleased) {
            if (now - deadline >= 0) {
                core.follow(now, core.term(), null);
            }
            return;
        }
        if (core.settings().isPreferred() || now - notBefore < 0) {
            return;
        }
        Optional<Member> target = Members.voters(core.members())
                .filter(m -> m.getName().equals(core.settings().preferred()))
                .filter(m -> leadership.isActive(now, m.getIdentity()))
                .findFirst();
        boolean settled = core.log().membersIndex() <= core.commitIndex();
        if (target.isEmpty() || !settled || proposalsPaused && now - deadline >= 0) {
            proposalsPaused = false;
            notBefore = now + COOLDOWN_TIMEOUTS * core.settings().electionTimeout();
            return;
        }
        if (!proposalsPaused) {
            proposalsPaused = true;
            deadline = now + core.settings().electionTimeout() / 2;
        }
        releaseLeaseIfCaughtUp(now, target.get());
    }

    private void releaseLeaseIfCaughtUp(long now, Member target) {
        Progress p = leadership.progress(target.getIdentity());
        long last = core.log().lastIndex();
        if (p == null || p.match < last || core.commitIndex() < last) {
            return;
        }
        leaseReleased = true;
        deadline = now + core.settings().electionTimeout();
        core.event(Event.of("leadership-transfer").with("to", target.getName()));
        core.send(
                target.getName(),
                target.getIdentity(),
                GroupMessage.newBuilder().setTakeOver(TakeOver.newBuilder().setTerm(core.term())));
    }
}
