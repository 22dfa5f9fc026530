package org.ragwortrun.replication.internal;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.ragwortrun.core.log.Event;
import org.ragwortrun.proto.Member;
import org.ragwortrun.proto.MemberSet;

/**
 * Performs the member changes of a leader, one at a time.
 *
 * <p>A change starts only when an entry of the leader's own term and the previous change are committed and a quorum of
 * the resulting set is active. A new identity becomes a learner. When it has every entry, the voter with the same name
 * is removed, and then the learner becomes a voter. Other learners remain as spares while the number of voters is odd.
 */
final class MemberChanges {
    private static final int MIN_VOTERS = 3;
    // Restarted hosts return within a few election timeouts; a host that is unreachable for longer is replaced.
    private static final int UNREACHABLE_TIMEOUTS = 5;

    private final RaftCore core;
    private final Leadership leadership;
    private final Map<String, Member> joinRequests = new TreeMap<>();
    private long unreachableSince = Long.MIN_VALUE;

    MemberChanges(RaftCore core, Leadership leadership) {
        this.core = core;
        this.leadership = leadership;
    }

    void requestJoin(Member member) {
        joinRequests.put(member.getName(), member);
    }

    void advance(long now) {
        MemberSet set = core.members();
        boolean settled =
                core.log().membersIndex() <= core.commitIndex() && core.commitIndex() >= leadership.firstIndex();
        if (settled && !promoteLearner(now, set) && !addLearner(now, set)) {
            removeReplaced(now, set);
        }
    }

    /**
     * Removes an unreachable voter after another member has replaced it. Otherwise, a lost host whose replacement has
     * another name would count in quorums permanently. With an odd number of voters, no voter has been replaced.
     */
    private void removeReplaced(long now, MemberSet set) {
        List<Member> voters = Members.voters(set).toList();
        List<Member> unreachable = unreachableVoters(now, set).toList();
        if (voters.size() % 2 == 1 || voters.size() <= MIN_VOTERS || unreachable.size() != 1) {
            unreachableSince = Long.MIN_VALUE;
            return;
        }
        if (unreachableSince == Long.MIN_VALUE) {
            unreachableSince = now;
        }
        if (now - unreachableSince >= UNREACHABLE_TIMEOUTS * core.settings().electionTimeout()) {
            Member lost = unreachable.get(0);
            proposeIfQuorumActive(now, Members.without(set, lost.getIdentity()), "remove-replaced", lost);
        }
    }

    private Stream<Member> unreachableVoters(long now, MemberSet set) {
        return Members.voters(set).filter(m -> !leadership.isActive(now, m.getIdentity()));
    }

    /**
     * Promotes a learner that has every entry to a voter. While all voters are reachable, their number stays odd,
     * because one more voter would not tolerate more failures, and a network partition into equal halves would leave no
     * quorum. The remaining learner replaces the next voter that becomes unreachable.
     */
    private boolean promoteLearner(long now, MemberSet set) {
        List<Member> caughtUp = caughtUpLearners(now, set).toList();
        if (caughtUp.isEmpty()) {
            return false;
        }
        for (Member learner : caughtUp) {
            Optional<Member> replaced = Members.voters(set)
                    .filter(m -> m.getName().equals(learner.getName()))
                    .findFirst();
            if (replaced.isPresent()) {
                Member old = replaced.get();
                return proposeIfQuorumActive(now, Members.without(set, old.getIdentity()), "remove-voter", old);
            }
        }
        boolean even = Members.voters(set).count() % 2 == 0;
        boolean wanted = even
                || caughtUp.size() > 1
                || unreachableVoters(now, set).findAny().isPresent();
        Member voter = caughtUp.get(0).toBuilder().setVoter(true).build();
        return wanted && proposeIfQuorumActive(now, Members.with(set, voter), "promote", voter);
    }

    private Stream<Member> caughtUpLearners(long now, MemberSet set) {
        return set.getMembersList().stream().filter(m -> !m.getVoter() && isCaughtUp(now, m));
    }

    private boolean isCaughtUp(long now, Member learner) {
        Progress p = leadership.progress(learner.getIdentity());
        return p != null && leadership.isActive(now, learner.getIdentity()) && p.match >= p.catchUpTarget;
    }

    private boolean addLearner(long now, MemberSet set) {
        joinRequests.values().removeIf(m -> Members.find(set, m.getIdentity()).isPresent());
        for (Member m : joinRequests.values()) {
            Optional<Member> active = set.getMembersList().stream()
                    .filter(o -> o.getName().equals(m.getName()) && leadership.isActive(now, o.getIdentity()))
                    .findFirst();
            if (active.isPresent()) {
                // Two processes use the same name: the active member remains.
                core.event(Event.of("join-refused")
                        .with("member", m.getName())
                        .with("identity", m.getIdentity())
                        .with("reason", "name-in-use"));
                joinRequests.remove(m.getName());
                return true;
            }
            MemberSet.Builder next = MemberSet.newBuilder();
            set.getMembersList().stream()
                    .filter(o -> o.getVoter() || !o.getName().equals(m.getName()))
                    .forEach(next::addMembers);
            Member learner = m.toBuilder().setVoter(false).build();
            if (proposeIfQuorumActive(now, next.addMembers(learner).build(), "add-learner", learner)) {
                joinRequests.remove(m.getName());
                return true;
            }
        }
        return false;
    }

    private boolean proposeIfQuorumActive(long now, MemberSet next, String change, Member member) {
        if (Members.voters(next).findAny().isEmpty()
                || !Members.hasQuorum(next, identity -> leadership.isActive(now, identity))) {
            return false;
        }
        leadership.proposeMembers(now, next, change, member);
        return true;
    }
}
