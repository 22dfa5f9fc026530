package org.ragwortrun.replication.internal;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.stream.Stream;
import org.ragwortrun.proto.AppendReply;
import org.ragwortrun.proto.GroupMessage;
import org.ragwortrun.proto.LogEntry;
import org.ragwortrun.proto.Member;
import org.ragwortrun.proto.MemberSet;
import org.ragwortrun.proto.PersistedState;
import org.ragwortrun.proto.VoteReply;
import org.ragwortrun.proto.VoteRequest;
import org.ragwortrun.replication.GroupStatus.Role;

/** Core of member c1 of three, restarted at time 0 in term 2 with entries 1 and 2 of terms 1 and 2. */
final class CoreFixture {
    static final long TIMEOUT = 1_000;
    static final MemberSet SET = MemberSet.newBuilder()
            .addAllMembers(Stream.of("c1", "c2", "c3").map(CoreFixture::voter).toList())
            .build();

    final RaftCore core;
    private long sequence;

    CoreFixture() {
        this("c1");
    }

    CoreFixture(String preferred) {
        this(preferred, 64 << 20);
    }

    CoreFixture(String preferred, long logBytes) {
        List<LogEntry> log = List.of(
                LogEntry.newBuilder().setIndex(1).setTerm(1).setMembers(SET).build(),
                LogEntry.newBuilder().setIndex(2).setTerm(2).setNoOp(true).build());
        PersistedState state = PersistedState.newBuilder()
                .setIdentity("c1#1")
                .setTerm(2)
                .setStarted(true)
                .build();
        CoreSettings settings = CoreSettings.of(
                        "c1", "127.0.0.1:1", List.of("c2", "c3"), List.of("c1", "c2", "c3"), TIMEOUT, preferred)
                .withLogBytes(logBytes);
        core = new RaftCore(
                settings,
                new RestoredState(state, SnapshotMeta.NONE, log),
                (index, offset, max) -> Optional.empty(),
                new Random(1),
                0);
    }

    static Member voter(String name) {
        return Member.newBuilder()
                .setName(name)
                .setIdentity(name + "#1")
                .setVoter(true)
                .build();
    }

    /** Returns the pending messages without syncing any write. */
    List<GroupMessage> messages() {
        Outputs out = core.takeOutputs(Integer.MAX_VALUE);
        out.writes().forEach(w -> sequence = w.sequence());
        return out.messages().stream().map(o -> o.message().build()).toList();
    }

    /** Syncs all writes, including those caused by a sync, and returns the messages. */
    List<GroupMessage> sync(long now) {
        List<GroupMessage> all = new ArrayList<>(messages());
        long before;
        do {
            before = sequence;
            core.onPersisted(now, sequence);
            all.addAll(messages());
        } while (sequence != before);
        return all;
    }

    void receiveVoteRequest(long now, String from, long term, long lastIndex, long lastTerm) {
        core.receive(
                now,
                GroupMessage.newBuilder()
                        .setFrom(from)
                        .setVoteRequest(VoteRequest.newBuilder()
                                .setTerm(term)
                                .setLastIndex(lastIndex)
                                .setLastTerm(lastTerm)
                                .setIdentity(from + "#1"))
                        .build());
    }

    void receiveVote(long now, String identity, long term, boolean preVote) {
        core.receive(
                now,
                GroupMessage.newBuilder()
                        .setFrom(identity)
                        .setVoteReply(VoteReply.newBuilder()
                                .setTerm(term)
                                .setGranted(true)
                                .setPreVote(preVote)
                                .setIdentity(identity))
                        .build());
    }

    void receiveAck(long now, String identity, long match, long round) {
        core.receive(
                now,
                GroupMessage.newBuilder()
                        .setFrom(identity)
                        .setAppendReply(AppendReply.newBuilder()
                                .setTerm(core.term())
                                .setSuccess(true)
                                .setMatchIndex(match)
                                .setRound(round)
                                .setIdentity(identity))
                        .build());
    }

    /** Elects c1 in term 3 with the vote of c2 and returns the time. */
    long lead() {
        long now = core.nextTick();
        while (core.role() != Role.CANDIDATE) {
            now = core.nextTick();
            core.tick(now);
        }
        receiveVote(now, "c2#1", 3, true);
        sync(now);
        receiveVote(now, "c2#1", 3, false);
        return now;
    }
}
