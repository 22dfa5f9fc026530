package org.ragwortrun.replication.internal;

import java.util.Optional;
import org.ragwortrun.core.log.Event;
import org.ragwortrun.proto.GroupMessage;
import org.ragwortrun.proto.Member;
import org.ragwortrun.proto.TakeOver;

/**
 * Hands a leadership to the member that should hold it, so that leaders are spread over the members after restarts.
 *
 * <p>The leader first takes no new commands. When the other member holds every entry and all are committed, the leader
 * gives up its lease for the rest of its term and then asks the other to stand for election.
 */
final class LeadershipTransfer {
    // A group stays where it is for this many election timeouts, so that a failing member does not make it move often.
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

    /** Returns whether no new commands are taken. */
    boolean isPausingProposals() {
        return proposalsPaused;
    }

    /** Returns whether the lease has been given up. */
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
