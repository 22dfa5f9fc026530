package org.ragwortrun.replication.internal;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;
import org.ragwortrun.core.log.Event;
import org.ragwortrun.proto.AppendReply;
import org.ragwortrun.proto.AppendRequest;
import org.ragwortrun.proto.GroupMessage;
import org.ragwortrun.proto.LogEntry;
import org.ragwortrun.proto.Member;
import org.ragwortrun.proto.MemberSet;
import org.ragwortrun.proto.SnapshotChunk;
import org.ragwortrun.proto.SnapshotReply;

/** Leader state and behaviour for one term: replication, commits, the lease and member changes. */
final class Leadership {
    private final RaftCore core;
    private final RaftLog log;
    private final CoreSettings settings;
    private final long startedAt;
    private final long firstIndex;
    private final Map<String, Progress> others = new TreeMap<>();
    private final MemberChanges changes;
    private long nextHeartbeat;
    private boolean leased;
    private final LeadershipTransfer transfer;

    Leadership(RaftCore core, long now) {
        this.core = core;
        log = core.log();
        settings = core.settings();
        startedAt = now;
        firstIndex = log.lastIndex() + 1;
        changes = new MemberChanges(core, this);
        transfer = new LeadershipTransfer(core, this, now);
        nextHeartbeat = now;
    }

    /** Appends a no-op entry, whose commit also commits the entries of earlier terms. */
    void start(long now) {
        updateMembers();
        append(now, List.of(entry(firstIndex).setNoOp(true).build()));
        tick(now);
    }

    long firstIndex() {
        return firstIndex;
    }

    long nextHeartbeat() {
        return nextHeartbeat;
    }

    int proposalCapacity() {
        if (transfer.isPausingProposals() || log.bytes() >= settings.logBytes()) {
            return 0;
        }
        return (int) Math.max(0, settings.maxUncommittedEntries() - (log.lastIndex() - core.commitIndex()));
    }

    boolean isSendingSnapshot(long now) {
        return others.values().stream().anyMatch(p -> p.snapshot != 0 && isActive(now, p.member.getIdentity()));
    }

    /**
     * Returns the index up to which no active member needs log entries. Without this limit, compaction could repeatedly
     * force a member that has just installed a snapshot to install the next one.
     */
    long lowestNeededIndex(long now) {
        return others.values().stream()
                .filter(p -> isActive(now, p.member.getIdentity()))
                .mapToLong(p -> p.snapshot == 0 ? p.match : p.snapshot)
                .min()
                .orElse(Long.MAX_VALUE);
    }

    @Nullable
    Progress progress(String identity) {
        return others.get(identity);
    }

    /** Returns whether a member has acknowledged a message that was sent within the last election timeout. */
    boolean isActive(long now, String identity) {
        Progress p = others.get(identity);
        return identity.equals(core.identity()) || p != null && now - p.acknowledged < settings.electionTimeout();
    }

    long propose(long now, List<ByteString> commands) {
        if (proposalCapacity() == 0) {
            return 0;
        }
        long first = log.lastIndex() + 1;
        List<LogEntry> entries = new ArrayList<>(commands.size());
        for (ByteString command : commands) {
            entries.add(entry(first + entries.size()).setCommand(command).build());
        }
        append(now, entries);
        return first;
    }

    void proposeMembers(long now, MemberSet set, String change, Member member) {
        core.event(Event.of("members-changing")
                .with("change", change)
                .with("member", member.getName())
                .with("identity", member.getIdentity())
                .with("index", log.lastIndex() + 1));
        append(now, List.of(entry(log.lastIndex() + 1).setMembers(set).build()));
    }

    void tick(long now) {
        long acknowledged = quorumAcknowledgedTime(now);
        if (now - Math.max(acknowledged, startedAt) > settings.electionTimeout()) {
            core.event(Event.of("quorum-lost"));
            core.follow(now, core.term(), null);
            return;
        }
        boolean leaseValid = leaseUntil(now) - now > 0;
        if (leased && !leaseValid) {
            core.event(Event.of("lease-lost"));
        }
        leased = leaseValid;
        if (now - nextHeartbeat >= 0) {
            nextHeartbeat = now + settings.heartbeat();
            for (Progress p : others.values()) {
                p.catchUpTarget = core.commitIndex();
                send(p, now, true);
            }
            changes.advance(now);
        }
        transfer.advance(now);
    }

    /** Returns the end of the lease, which starts when the newest message acknowledged by a quorum was sent. */
    long leaseUntil(long now) {
        long acknowledged = quorumAcknowledgedTime(now);
        return transfer.hasReleasedLease() || acknowledged == Progress.NEVER
                ? Progress.NEVER
                : acknowledged + settings.lease();
    }

    void onDurable(long now) {
        advanceCommit(now);
    }

    void onJoinRequest(Member member) {
        changes.requestJoin(member);
    }

    void onAppendReply(long now, AppendReply r) {
        Progress p = others.get(r.getIdentity());
        if (p == null) {
            // Acknowledgements from identities that are not members are ignored.
            return;
        }
        p.acknowledged = Math.max(p.acknowledged, Math.min(r.getRound(), now));
        if (r.getSuccess()) {
            p.match = Math.max(p.match, Math.min(r.getMatchIndex(), log.lastIndex()));
            p.next = Math.max(p.next, p.match + 1);
            if (p.next > log.base()) {
                p.snapshot = 0;
            }
            if (p.probing && p.snapshot == 0) {
                p.probing = false;
            }
            advanceCommit(now);
        } else if (p.snapshot == 0 && r.getRound() >= p.probeSince) {
            p.startProbe(Math.min(p.next - 1, r.getLastIndex() + 1), now);
        }
        send(p, now, false);
        changes.advance(now);
        transfer.advance(now);
    }

    void onSnapshotReply(long now, SnapshotReply r) {
        Progress p = others.get(r.getIdentity());
        if (p == null || r.getTerm() != core.term()) {
            return;
        }
        p.acknowledged = Math.max(p.acknowledged, Math.min(r.getRound(), now));
        if (r.getInstalled()) {
            p.match = Math.max(p.match, r.getLastIndex());
            p.next = Math.max(p.next, p.match + 1);
            p.snapshot = 0;
            p.probing = false;
            advanceCommit(now);
            send(p, now, false);
            return;
        }
        if (p.snapshot == r.getLastIndex() && r.getNextOffset() != p.snapshotOffset) {
            p.snapshotOffset = r.getNextOffset();
            sendChunk(p, now);
        }
    }

    private void append(long now, List<LogEntry> entries) {
        core.append(entries);
        if (entries.get(0).hasMembers()) {
            updateMembers();
        }
        for (Progress p : others.values()) {
            send(p, now, false);
        }
    }

    private LogEntry.Builder entry(long index) {
        return LogEntry.newBuilder().setIndex(index).setTerm(core.term());
    }

    private void updateMembers() {
        MemberSet set = log.members();
        others.keySet().removeIf(identity -> Members.find(set, identity).isEmpty());
        for (Member m : set.getMembersList()) {
            if (!m.getIdentity().equals(core.identity())) {
                others.computeIfAbsent(m.getIdentity(), i -> new Progress(m, log.lastIndex() + 1));
            }
        }
    }

    private long quorumAcknowledgedTime(long now) {
        return Members.reachedByQuorum(log.members(), identity -> {
            Progress p = others.get(identity);
            return p == null ? now : p.acknowledged;
        });
    }

    private void advanceCommit(long now) {
        long reached = Members.reachedByQuorum(log.members(), identity -> {
            Progress p = others.get(identity);
            return p == null ? core.durableIndex() : p.match;
        });
        // Entries of earlier terms are committed only together with an entry of this term.
        if (reached > core.commitIndex() && reached >= firstIndex) {
            core.commitTo(reached);
            changes.advance(now);
        }
    }

    private void send(Progress p, long now, boolean heartbeat) {
        if (p.next <= log.base()) {
            if (heartbeat) {
                sendAppend(p, now, log.base(), List.of());
            }
            continueSnapshot(p, now);
            return;
        }
        boolean messageRequired = heartbeat;
        while (true) {
            List<LogEntry> entries =
                    isBlocked(p) ? List.of() : log.slice(p.next, log.lastIndex(), settings.batchBytes());
            if (entries.isEmpty() && !messageRequired) {
                return;
            }
            sendAppend(p, now, p.next - 1, entries);
            messageRequired = false;
            if (p.probing) {
                p.probeSent = true;
                return;
            }
            p.next += entries.size();
        }
    }

    private boolean isBlocked(Progress p) {
        return p.probing ? p.probeSent : isWindowFull(p);
    }

    /** Returns whether a follower must acknowledge entries before it gets more. Discarded entries have no known size. */
    private boolean isWindowFull(Progress p) {
        return p.match < log.base()
                || p.next - 1 - p.match >= settings.maxInFlightEntries()
                || log.bytes(p.match, p.next - 1) >= settings.inFlightBytes();
    }

    private void sendAppend(Progress p, long now, long previous, List<LogEntry> entries) {
        AppendRequest.Builder request = AppendRequest.newBuilder()
                .setTerm(core.term())
                .setPreviousIndex(previous)
                .setPreviousTerm(log.term(previous))
                .setCommitIndex(core.commitIndex())
                .addAllEntries(entries)
                .setRound(now)
                .setIdentity(core.identity());
        core.send(
                p.member.getName(),
                p.member.getIdentity(),
                GroupMessage.newBuilder().setAppendRequest(request));
    }

    private void continueSnapshot(Progress p, long now) {
        boolean stale = p.snapshot != core.snapshot().index();
        boolean timedOut = now - p.chunkSentAt > settings.electionTimeout() / 2;
        if (stale && (p.snapshot == 0 || timedOut && isActive(now, p.member.getIdentity()))) {
            p.snapshot = core.snapshot().index();
            p.snapshotOffset = 0;
            core.event(
                    Event.of("snapshot-sending").with("to", p.member.getName()).with("index", p.snapshot));
            sendChunk(p, now);
        } else if (timedOut && isActive(now, p.member.getIdentity())) {
            sendChunk(p, now);
        }
    }

    private void sendChunk(Progress p, long now) {
        SnapshotMeta meta = core.snapshot();
        p.chunkSentAt = now;
        if (p.snapshot != meta.index()) {
            p.snapshot = meta.index();
            p.snapshotOffset = 0;
        }
        core.snapshots()
                .read(meta.index(), p.snapshotOffset, settings.chunkBytes())
                .ifPresent(part -> {
                    SnapshotChunk.Builder chunk = SnapshotChunk.newBuilder()
                            .setTerm(core.term())
                            .setLastIndex(meta.index())
                            .setLastTerm(meta.term())
                            .setMembers(meta.members())
                            .setOffset(p.snapshotOffset)
                            .setData(part.data())
                            .setDone(part.done())
                            .setRound(now)
                            .setIdentity(core.identity());
                    core.send(
                            p.member.getName(),
                            p.member.getIdentity(),
                            GroupMessage.newBuilder().setSnapshotChunk(chunk));
                });
    }
}
