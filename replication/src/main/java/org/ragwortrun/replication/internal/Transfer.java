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
final class Transfer {
    // A group stays where it is for this many election timeouts, so that a failing member does not make it move often.
    private static final int STAY_TIMEOUTS = 10;

    private final RaftCore core;
    private final Leadership leadership;
    private long notBefore;
    private long deadline;
    private boolean pausing;
    private boolean yielded;

    Transfer(RaftCore core, Leadership leadership, long now) {
        this.core = core;
        this.leadership = leadership;
        notBefore = now + STAY_TIMEOUTS * core.settings().electionTimeout();
    }

    /** Returns whether no new commands are taken. */
    boolean isPausing() {
        return pausing;
    }

    /** Returns whether the lease has been given up. */
    boolean hasYielded() {
        return yielded;
    }

    void advance(long now) {
        if (yielded) {
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
        if (target.isEmpty() || !settled || pausing && now - deadline >= 0) {
            pausing = false;
            notBefore = now + STAY_TIMEOUTS * core.settings().electionTimeout();
            return;
        }
        if (!pausing) {
            pausing = true;
            deadline = now + core.settings().electionTimeout() / 2;
        }
        yieldIfComplete(now, target.get());
    }

    private void yieldIfComplete(long now, Member target) {
        Progress p = leadership.progress(target.getIdentity());
        long last = core.log().lastIndex();
        if (p == null || p.match < last || core.commitIndex() < last) {
            return;
        }
        yielded = true;
        deadline = now + core.settings().electionTimeout();
        core.event(Event.of("leadership-transfer").with("to", target.getName()));
        core.send(
                target.getName(),
                target.getIdentity(),
                GroupMessage.newBuilder().setTakeOver(TakeOver.newBuilder().setTerm(core.term())));
    }
}
