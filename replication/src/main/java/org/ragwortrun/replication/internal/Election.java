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
 *
 * <p>Votes are synced before they are sent, and a sync may take longer than the election timeout. So a member that is
 * still saving a vote neither campaigns nor supports a campaign, and a candidate counts late votes of its election until
 * it starts another one.
 */
final class Election {
    /** Additional time for the votes of others, as a multiple of the time that the sync of the own vote took. */
    private static final int SYNCS_AWAITED = 2;

    private final RaftCore core;
    private final Set<String> preVotes = new HashSet<>();
    private final Set<String> votes = new HashSet<>();
    /** Term of the election in which this member has requested votes since it became a candidate, 0 for none. */
    private long requestedTerm;

    Election(RaftCore core) {
        this.core = core;
    }

    /** Starts a pre-vote if this member is a voter. */
    void campaign(long now) {
        if (!core.isVoter()) {
            return;
        }
        if (core.role() != Role.CANDIDATE) {
            requestedTerm = 0;
        }
        core.become(Role.CANDIDATE);
        preVotes.clear();
        requestVotes(VoteRequest.newBuilder().setTerm(core.term() + 1).setPreVote(true));
        countPreVote(now, core.identity());
    }

    /** Starts an election because the leader has released its lease to transfer leadership to this member. */
    void onTakeOver(long now, TakeOver request) {
        if (request.getTerm() == core.term() && core.leadership() == null && core.isVoter()) {
            startElection(now, true);
        }
    }

    void onRequest(long now, String from, VoteRequest r) {
        boolean leading = core.leadership() != null;
        if (!r.getTransfer() && (leading || core.hasRecentLeader(now))) {
            // The leader may hold a lease that depends on an acknowledgement of this member.
            return;
        }
        if (r.getPreVote()) {
            boolean grant = r.getTerm() > core.term() && isUpToDate(r) && !core.isSavingState();
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
        }
        long term = core.term();
        core.afterWrites(now, syncedAt -> {
            if (grant) {
                core.resetElection(syncedAt);
            }
            reply(from, r, grant, term);
        });
    }

    void onReply(long now, VoteReply r) {
        if (!r.getGranted()) {
            core.stepDownIfNewer(now, r.getTerm(), r.getIdentity());
            return;
        }
        if (core.role() != Role.CANDIDATE) {
            return;
        }
        if (r.getPreVote() && r.getTerm() == core.term() + 1) {
            countPreVote(now, r.getIdentity());
        } else if (!r.getPreVote() && r.getTerm() == core.term() && r.getTerm() == requestedTerm) {
            countVote(now, r.getIdentity());
        }
    }

    private void startElection(long now, boolean transfer) {
        core.become(Role.CANDIDATE);
        core.save(core.state().toBuilder()
                .setTerm(core.term() + 1)
                .setVote(core.identity())
                .setStarted(true));
        core.resetElection(now);
        core.event(Event.of("election-started").with("transfer", transfer));
        long term = core.term();
        core.afterWrites(now, syncedAt -> {
            if (core.term() == term && core.role() == Role.CANDIDATE) {
                requestedTerm = term;
                votes.clear();
                requestVotes(VoteRequest.newBuilder().setTerm(term).setTransfer(transfer));
                // The others have yet to sync their votes, which may take them as long.
                core.resetElection(syncedAt + SYNCS_AWAITED * (syncedAt - now));
                countVote(syncedAt, core.identity());
            }
        });
    }

    private void countPreVote(long now, String identity) {
        preVotes.add(identity);
        if (isQuorum(preVotes)) {
            startElection(now, false);
        }
    }

    private void countVote(long now, String identity) {
        votes.add(identity);
        if (isQuorum(votes)) {
            core.lead(now);
        }
    }

    /** Returns whether votes are enough. Votes of identities that are not voters are not counted. */
    private boolean isQuorum(Set<String> granted) {
        return Members.hasQuorum(core.members(), granted::contains);
    }

    private void requestVotes(VoteRequest.Builder request) {
        request.setLastIndex(core.log().lastIndex())
                .setLastTerm(core.log().lastTerm())
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
