package org.ragwortrun.control.internal;

import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;
import org.ragwortrun.proto.GroupState;
import org.ragwortrun.proto.Member;
import org.ragwortrun.proto.NotLeader;
import org.ragwortrun.replication.GroupStatus;
import org.ragwortrun.replication.MemberId;
import org.ragwortrun.replication.NotLeaderException;
import org.ragwortrun.replication.ReplicatedGroup;

/** A group backed by the replication module. */
abstract class HostedGroup implements Group {
    private final int id;
    private final ReplicatedGroup group;
    private final PendingProposals inFlight;

    HostedGroup(int id, ReplicatedGroup group, PendingProposals inFlight) {
        this.id = id;
        this.group = group;
        this.inFlight = inFlight;
    }

    @Override
    public final int id() {
        return id;
    }

    @Override
    public final OptionalLong leasedTerm() {
        try {
            long before = group.status().term();
            group.requireLease();
            // Terms only increase, so the lease belongs to the term if the term is the same before and after.
            long after = group.status().term();
            return before == after ? OptionalLong.of(after) : OptionalLong.empty();
        } catch (NotLeaderException e) {
            return OptionalLong.empty();
        }
    }

    @Override
    public final NotLeader hint() {
        NotLeader.Builder hint = NotLeader.newBuilder().setGroup(id);
        GroupStatus status = group.status();
        status.leader()
                .filter(l -> !l.identity().equals(status.self().identity()))
                .ifPresent(l -> hint.setLeaderName(l.name()).setLeaderAddress(l.address()));
        return hint.build();
    }

    @Override
    public final GroupState state() {
        GroupStatus s = group.status();
        return GroupState.newBuilder()
                .setGroup(id)
                .setLeader(s.leader().map(MemberId::name).orElse(""))
                .setTerm(s.term())
                .setCommitIndex(s.commitIndex())
                .setSnapshotIndex(s.snapshotIndex())
                .setLeased(s.leased())
                .addAllVoters(s.voters().stream().map(MemberId::identity).toList())
                .addAllLearners(s.learners().stream().map(MemberId::identity).toList())
                .build();
    }

    @Override
    public final List<Member> members() {
        GroupStatus s = group.status();
        return Stream.concat(
                        s.voters().stream().map(m -> member(m, true)),
                        s.learners().stream().map(m -> member(m, false)))
                .toList();
    }

    private static Member member(MemberId m, boolean voter) {
        return Member.newBuilder()
                .setName(m.name())
                .setIdentity(m.identity())
                .setAddress(m.address())
                .setVoter(voter)
                .build();
    }

    final CompletableFuture<byte[]> propose(byte[] command) {
        return inFlight.track(group.propose(command));
    }
}
