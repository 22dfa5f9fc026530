package org.ragwortrun.replication.internal;

import java.util.HashSet;
import java.util.Set;
import org.ragwortrun.core.log.Event;
import org.ragwortrun.proto.GroupMessage;
import org.ragwortrun.proto.TakeOver;
import org.ragwortrun.proto.VoteReply;
import org.ragwortrun.proto.VoteRequest;
import org.ragwortrun.replication.GroupStatus.Role;

/**
 * Election and voting logic of one member.
 *
 * <p>A pre-vote checks whether an election could be won without changing the term, so that a member that returns after
 * a network partition does not depose the leader.
 */
final class Election {
    private final RaftCore core;
    private final Set<String> granted = new HashSet<>();
    private boolean preVote;
    private boolean transfer;

    Election(RaftCore core) {
        this.core = core;
    }

    /** Starts a pre-vote if this member is a voter. */
    void campaign(long now) {
        if (!core.isVoter()) {
            return;
        }
        preVote = true;
        transfer = false;
        core.become(Role.CANDIDATE);
        requestVotes(core.term() + 1);
        countVote(now, core.identity());
    }

    /** Starts an election because the leader has released its lease to transfer leadership to this member. */
    void onTakeOver(long now, TakeOver request) {
        if (request.getTerm() == core.term() && core.leadership() == null && core.isVoter()) {
            transfer = true;
            startElection(now);
        }
    }

    void onRequest(long now, String from, VoteRequest r) {
        boolean leading = core.leadership() != null;
        if (!r.getTransfer() && (leading || core.hasRecentLeader(now))) {
            // The leader may hold a lease that depends on an acknowledgement of this member.
            return;
        }
        if (r.getPreVote()) {
            boolean grant = r.getTerm() > core.term() && isUpToDate(r);
            reply(from, r, grant, grant ? r.getTerm() : core.term());
            return;
        }
        if (r.getTerm() > core.term()) {
            core.follow(now, r.getTerm(), null);
        }
        String vote = core.state().getVote();
        boolean grant = r.getTerm() == core.term() && (vote.isEmpty() || vote.equals(r.getIdentity())) && isUpToDate(r);
        if (grant && vote.isEmpty()) {
            core.save(core.state().toBuilder().setVote(r.getIdentity()).setStarted(true));
            core.resetElection(now);
        }
        long term = core.term();
        core.afterWrites(() -> reply(from, r, grant, term));
    }

    void onReply(long now, VoteReply r) {
        if (!r.getGranted()) {
            core.stepDownIfNewer(now, r.getTerm(), r.getIdentity());
            return;
        }
        long requestedTerm = preVote ? core.term() + 1 : core.term();
        if (core.role() == Role.CANDIDATE && r.getPreVote() == preVote && r.getTerm() == requestedTerm) {
            countVote(now, r.getIdentity());
        }
    }

    private void startElection(long now) {
        preVote = false;
        core.become(Role.CANDIDATE);
        core.save(core.state().toBuilder()
                .setTerm(core.term() + 1)
                .setVote(core.identity())
                .setStarted(true));
        core.resetElection(now);
        core.event(Event.of("election-started").with("transfer", transfer));
        granted.clear();
        long term = core.term();
        core.afterWrites(() -> {
            if (core.term() == term && core.role() == Role.CANDIDATE && !preVote) {
                requestVotes(term);
                countVote(now, core.identity());
            }
        });
    }

    private void countVote(long now, String identity) {
        granted.add(identity);
        // Votes of identities that are not voters are not counted.
        if (!Members.hasQuorum(core.members(), granted::contains)) {
            return;
        }
        if (preVote) {
            startElection(now);
        } else {
            core.lead(now);
        }
    }

    private void requestVotes(long term) {
        granted.clear();
        VoteRequest.Builder request = VoteRequest.newBuilder()
                .setTerm(term)
                .setLastIndex(core.log().lastIndex())
                .setLastTerm(core.log().lastTerm())
                .setPreVote(preVote)
                .setTransfer(transfer)
                .setIdentity(core.identity());
        Members.voters(core.members())
                .filter(m -> !m.getIdentity().equals(core.identity()))
                .forEach(m -> core.send(
                        m.getName(), m.getIdentity(), GroupMessage.newBuilder().setVoteRequest(request)));
    }

    private boolean isUpToDate(VoteRequest r) {
        long lastTerm = core.log().lastTerm();
        return r.getLastTerm() > lastTerm
                || r.getLastTerm() == lastTerm && r.getLastIndex() >= core.log().lastIndex();
    }

    private void reply(String to, VoteRequest r, boolean grant, long term) {
        VoteReply.Builder reply = VoteReply.newBuilder()
                .setTerm(term)
                .setGranted(grant)
                .setPreVote(r.getPreVote())
                .setIdentity(core.identity());
        core.send(to, r.getIdentity(), GroupMessage.newBuilder().setVoteReply(reply));
    }
}
