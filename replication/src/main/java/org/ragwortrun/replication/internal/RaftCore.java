package org.ragwortrun.replication.internal;

import com.google.protobuf.ByteString;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.function.LongConsumer;
import org.jspecify.annotations.Nullable;
import org.ragwortrun.core.log.Event;
import org.ragwortrun.proto.AppendReply;
import org.ragwortrun.proto.AppendRequest;
import org.ragwortrun.proto.GroupMessage;
import org.ragwortrun.proto.LogEntry;
import org.ragwortrun.proto.Member;
import org.ragwortrun.proto.MemberSet;
import org.ragwortrun.proto.PersistedState;
import org.ragwortrun.proto.SnapshotReply;
import org.ragwortrun.replication.GroupStatus.Role;

/**
 * Raft state machine of one member of one group; it performs no I/O.
 *
 * <p>Inputs are messages, ticks, commands and notifications of synced writes; {@link #takeOutputs} returns the requested
 * effects. The same inputs with the same clock readings and random source produce the same outputs. Times are readings
 * of the member's monotonic clock in nanoseconds. Not thread-safe.
 */
public final class RaftCore {
    private static final int DELIVERY_BYTES = 4 << 20;

    private final CoreSettings settings;
    private final RaftLog log;
    private final Random random;
    private final SnapshotSource snapshots;
    private final Election election;
    private final JoinProtocol joining;
    private final SnapshotReceiver receiver;
    private final Deque<PendingWrite> pendingWrites = new ArrayDeque<>();
    private final Deque<DeferredEffect> deferredEffects = new ArrayDeque<>();
    private PersistedState state;
    private Role role = Role.FOLLOWER;
    private @Nullable Member leader;
    private @Nullable Leadership leadership;
    private SnapshotMeta snapshot;
    private long commit;
    private long durable;
    private long deliveredIndex;
    /** Index of the received snapshot that the state machine has not loaded yet, 0 for none. */
    private long restoring;

    private long lastHeartbeat;
    private long electionDeadline;
    private boolean leaderSeen;
    private long sequence;
    private long stateSequence;
    private long persisted;
    private Outputs out = new Outputs();

    /** Write that is not yet synced, with the last log index that it makes durable. */
    private record PendingWrite(long sequence, long lastIndex) {}

    /** Effect that is deferred until a write is synced. */
    private record DeferredEffect(long sequence, LongConsumer effect) {}

    public RaftCore(CoreSettings settings, RestoredState restored, SnapshotSource snapshots, Random random, long now) {
        this(settings, restored, snapshots, random, now, now);
    }

    /**
     * Creates the state of a member that has started.
     *
     * @param processStart time since which no earlier process of this member has run
     */
    public RaftCore(
            CoreSettings settings,
            RestoredState restored,
            SnapshotSource snapshots,
            Random random,
            long now,
            long processStart) {
        this.settings = settings;
        this.snapshots = snapshots;
        this.random = random;
        snapshot = restored.snapshot();
        log = new RaftLog(snapshot, restored.entries());
        long term = Math.max(restored.state().getTerm(), log.lastTerm());
        // Entries are written before the state record that marks the member as started.
        boolean started = restored.state().getStarted() || log.lastIndex() > 0;
        state = restored.state().toBuilder().setStarted(started).build();
        if (term > state.getTerm()) {
            state = state.toBuilder().setTerm(term).setVote("").build();
        }
        commit = snapshot.index();
        deliveredIndex = commit;
        durable = log.lastIndex();
        // A heartbeat that was acknowledged before a restart may still support a lease, so this member gives no vote
        // for one election timeout after the process start. Reading the files may have taken longer than that.
        lastHeartbeat = processStart;
        election = new Election(this);
        joining = new JoinProtocol(this, now);
        receiver = new SnapshotReceiver(this);
        resetElection(now);
        electionDeadline = Math.max(now, electionDeadline - (now - processStart));
    }

    // ---- inputs ----

    /** Performs the actions that are due at a time. */
    public void tick(long now) {
        if (leadership != null) {
            leadership.tick(now);
            return;
        }
        joining.tick(now);
        if (now - electionDeadline >= 0) {
            resetElection(now);
            if (isSavingState()) {
                return;
            }
            if (!leaderSeen) {
                electionDeadline = now + initialRetryDelay();
            }
            election.campaign(now);
        }
    }

    /** Handles a message of another member. */
    public void receive(long now, GroupMessage m) {
        if (!m.getToIdentity().isEmpty() && !m.getToIdentity().equals(identity())) {
            return;
        }
        switch (m.getBodyCase()) {
            case VOTE_REQUEST -> election.onRequest(now, m.getFrom(), m.getVoteRequest());
            case VOTE_REPLY -> election.onReply(now, m.getVoteReply());
            case APPEND_REQUEST -> onAppend(now, m.getFrom(), m.getAppendRequest());
            case APPEND_REPLY -> onAppendReply(now, m.getAppendReply());
            case SNAPSHOT_CHUNK -> receiver.onChunk(now, m.getFrom(), m.getSnapshotChunk());
            case SNAPSHOT_REPLY -> onSnapshotReply(now, m.getSnapshotReply());
            case JOIN_REQUEST -> joining.onRequest(now, m.getJoinRequest());
            case JOIN_REPLY -> joining.onReply(m.getFrom(), m.getJoinReply());
            case TAKE_OVER -> election.onTakeOver(now, m.getTakeOver());
            case BODY_NOT_SET -> {
                // message type of a later version
            }
        }
    }

    /** Appends commands and returns the index of the first, or 0 if this member is not a leader that accepts them. */
    public long propose(long now, List<ByteString> commands) {
        return leadership == null ? 0 : leadership.propose(now, commands);
    }

    /** Handles the notification that all writes up to a sequence number are synced. */
    public void onPersisted(long now, long upTo) {
        persisted = Math.max(persisted, upTo);
        while (!pendingWrites.isEmpty() && pendingWrites.peek().sequence() <= persisted) {
            durable = Math.max(durable, pendingWrites.remove().lastIndex());
        }
        while (!deferredEffects.isEmpty() && deferredEffects.peek().sequence() <= persisted) {
            deferredEffects.remove().effect().accept(now);
        }
        if (leadership != null) {
            leadership.onDurable(now);
        }
    }

    /** Handles the notification that a snapshot of this member's own state is stored. */
    public void onSnapshotStored(long now, SnapshotMeta stored) {
        if (stored.index() <= snapshot.index()) {
            return;
        }
        snapshot = stored;
        long keep = log.lowestIndexWithin(stored.index(), settings.retainedEntries(), settings.retainedBytes());
        if (leadership != null && log.bytes() < settings.catchUpBytes()) {
            keep = Math.min(keep, leadership.lowestNeededIndex(now));
        }
        log.compact(Math.max(log.base(), keep));
    }

    /** Handles the notification that the state machine has loaded the received snapshot at an index. */
    public void onSnapshotRestored(long index) {
        if (index >= restoring) {
            restoring = 0;
        }
    }

    /**
     * Returns the effects requested since the last call.
     *
     * @param maxDeliveries maximum number of deliveries; the remaining entries are delivered by later calls
     */
    public Outputs takeOutputs(int maxDeliveries) {
        while (deliveredIndex < commit && out.deliveries().size() < maxDeliveries) {
            List<LogEntry> entries = log.slice(deliveredIndex + 1, commit, DELIVERY_BYTES);
            deliveredIndex += entries.size();
            out.deliveries().add(new Delivery.Entries(entries));
        }
        Outputs outputs = out;
        out = new Outputs();
        return outputs;
    }

    // ---- views ----

    public Role role() {
        return role == Role.FOLLOWER && !isVoter() ? Role.LEARNER : role;
    }

    public Optional<Member> leader() {
        return Optional.ofNullable(leader);
    }

    public String identity() {
        return state.getIdentity();
    }

    public long term() {
        return state.getTerm();
    }

    public long commitIndex() {
        return commit;
    }

    public long lastIndex() {
        return log.lastIndex();
    }

    /** Returns the index of the last entry that is synced on this member. */
    public long durableIndex() {
        return durable;
    }

    /** Returns the size of the log entries in memory. */
    public long logBytes() {
        return log.bytes();
    }

    public SnapshotMeta snapshot() {
        return snapshot;
    }

    public MemberSet members() {
        return log.members();
    }

    /** Returns the in-memory entries from an index. */
    public List<LogEntry> entriesFrom(long index) {
        return log.slice(Math.max(index, log.base() + 1), log.lastIndex(), Integer.MAX_VALUE);
    }

    /** Returns the time at which the lease ends, or {@link Progress#NEVER} if this member holds no lease. */
    public long leaseUntil(long now) {
        return leadership == null ? Progress.NEVER : leadership.leaseUntil(now);
    }

    /** Returns the index of the entry that a leader must have applied before it may serve reads. */
    public long readyIndex() {
        return leadership == null ? Long.MAX_VALUE : leadership.firstIndex();
    }

    /** Returns how many more commands this member currently accepts. */
    public int proposalCapacity() {
        return leadership == null ? 0 : leadership.proposalCapacity();
    }

    /** Returns whether this member is sending its snapshot to an active member and should not replace it yet. */
    public boolean isSendingSnapshot(long now) {
        return leadership != null && leadership.isSendingSnapshot(now);
    }

    /** Returns the time at which the next tick is due. */
    public long nextTick() {
        if (leadership != null) {
            return leadership.nextHeartbeat();
        }
        return Math.min(electionDeadline, joining.nextRequest());
    }

    // ---- internal interface for the parts of the core ----

    CoreSettings settings() {
        return settings;
    }

    RaftLog log() {
        return log;
    }

    SnapshotSource snapshots() {
        return snapshots;
    }

    PersistedState state() {
        return state;
    }

    Outputs out() {
        return out;
    }

    @Nullable
    Leadership leadership() {
        return leadership;
    }

    boolean isVoter() {
        return Members.isVoter(log.members(), identity());
    }

    boolean isRestoring() {
        return restoring != 0;
    }

    boolean hasRecentLeader(long now) {
        return now - lastHeartbeat < settings.electionTimeout();
    }

    void send(String to, String toIdentity, GroupMessage.Builder message) {
        out.messages()
                .add(new OutgoingMessage(to, message.setFrom(settings.name()).setToIdentity(toIdentity)));
    }

    void event(Event event) {
        out.events().add(event.with("term", term()));
    }

    /** Runs an effect, with the time, once all writes requested so far are synced. */
    void afterWrites(long now, LongConsumer effect) {
        if (sequence <= persisted) {
            effect.accept(now);
        } else {
            deferredEffects.add(new DeferredEffect(sequence, effect));
        }
    }

    /** Returns whether a term or vote is not yet synced, so that this member could not vote again by now. */
    boolean isSavingState() {
        return stateSequence > persisted;
    }

    void save(PersistedState.Builder changed) {
        state = changed.build();
        sequence++;
        stateSequence = sequence;
        out.writes().add(new Write.State(sequence, state));
        pendingWrites.add(new PendingWrite(sequence, 0));
    }

    /** Appends entries to the log. The first may replace an uncommitted entry and all that follow it. */
    void append(List<LogEntry> entries) {
        long first = entries.get(0).getIndex();
        if (first <= log.lastIndex()) {
            limitDurable(first - 1);
        }
        log.append(entries);
        sequence++;
        out.writes().add(new Write.Entries(sequence, entries));
        pendingWrites.add(new PendingWrite(sequence, log.lastIndex()));
        if (!state.getStarted()) {
            save(state.toBuilder().setStarted(true).setTerm(Math.max(term(), log.lastTerm())));
        }
    }

    void write(SnapshotReceiver.AcceptedChunk part) {
        sequence++;
        out.writes().add(new Write.Chunk(sequence, part.chunk()));
        pendingWrites.add(new PendingWrite(sequence, 0));
    }

    /** Replaces the state with a received and stored snapshot. */
    void install(SnapshotMeta received) {
        snapshot = received;
        if (log.containsEntry(received.index(), received.term())) {
            log.compact(received.index());
        } else {
            log.reset(received);
            limitDurable(received.index());
            sequence++;
            out.writes().add(new Write.ResetLog(sequence, received.index()));
            pendingWrites.add(new PendingWrite(sequence, 0));
        }
        durable = Math.max(durable, received.index());
        commit = received.index();
        deliveredIndex = received.index();
        restoring = received.index();
        out.deliveries().add(new Delivery.Snapshot(received));
        if (!state.getStarted()) {
            save(state.toBuilder().setStarted(true));
        }
        event(Event.of("snapshot-installed").with("index", received.index()));
    }

    void commitTo(long index) {
        commit = Math.max(commit, Math.min(index, log.lastIndex()));
    }

    void become(Role newRole) {
        role = newRole;
        leader = null;
    }

    void lead(long now) {
        role = Role.LEADER;
        leader = settings.self(identity());
        leadership = new Leadership(this, now);
        event(Event.of("leader-elected").with("leader", settings.name()).with("last_index", log.lastIndex()));
        leadership.start(now);
    }

    /** Becomes a follower in a term that is not older than the current one. */
    void follow(long now, long term, @Nullable Member newLeader) {
        if (leadership != null) {
            leadership = null;
            out.markLeadershipLost();
            event(Event.of("leadership-ended").with("next_term", term));
            resetElection(now);
        }
        if (term > term()) {
            save(state.toBuilder().setTerm(term).setVote(""));
        }
        role = Role.FOLLOWER;
        leader = newLeader;
    }

    /** Becomes a follower of the sender of an append request or snapshot chunk and restarts the election timeout. */
    void acceptLeader(long now, long term, String name, String identity) {
        boolean known = leader != null && leader.getIdentity().equals(identity) && term == term();
        if (!known || role != Role.FOLLOWER) {
            Member sender = Members.find(log.members(), identity)
                    .orElseGet(() -> Member.newBuilder()
                            .setName(name)
                            .setIdentity(identity)
                            .build());
            follow(now, term, sender);
            event(Event.of("following").with("leader", name));
        }
        lastHeartbeat = now;
        leaderSeen = true;
        resetElection(now);
    }

    /** Steps down if a reply of a member has a newer term. Returns whether the term of the reply is newer. */
    boolean stepDownIfNewer(long now, long term, String identity) {
        if (term <= term()) {
            return false;
        }
        if (Members.find(log.members(), identity).isPresent()) {
            follow(now, term, null);
        }
        return true;
    }

    void resetElection(long now) {
        long timeout = settings.electionTimeout();
        // The preferred member times out first, so that the leaders of many groups are distributed over the members.
        long minDelay = settings.isPreferred() ? timeout / 10 : timeout / 2;
        long jitter = settings.isPreferred() ? timeout / 5 : timeout / 2;
        electionDeadline = now + timeout + minDelay + (long) (random.nextDouble() * jitter);
    }

    /**
     * Returns the delay between pre-votes of a member that has seen no leader since its start. After an outage of all
     * members, the first one to restart gets no replies and should not wait a full election timeout before it retries.
     */
    private long initialRetryDelay() {
        long minDelay = settings.electionTimeout() / (settings.isPreferred() ? 8 : 4);
        return minDelay + (long) (random.nextDouble() * minDelay);
    }

    private void limitDurable(long last) {
        durable = Math.min(durable, last);
        List<PendingWrite> limited = pendingWrites.stream()
                .map(p -> new PendingWrite(p.sequence(), Math.min(p.lastIndex(), last)))
                .toList();
        pendingWrites.clear();
        pendingWrites.addAll(limited);
    }

    private void onAppend(long now, String from, AppendRequest a) {
        AppendReply.Builder reply =
                AppendReply.newBuilder().setRound(a.getRound()).setIdentity(identity());
        if (a.getTerm() < term()) {
            reply(from, a.getIdentity(), reply.setTerm(term()).setLastIndex(log.lastIndex()));
            return;
        }
        acceptLeader(now, a.getTerm(), from, a.getIdentity());
        reply.setTerm(term());
        long previous = a.getPreviousIndex();
        boolean covered = previous < log.base();
        if (!covered && !log.containsEntry(previous, a.getPreviousTerm())) {
            long hint = previous > log.lastIndex() ? log.lastIndex() : log.beforeTermOf(previous);
            reply(from, a.getIdentity(), reply.setLastIndex(Math.max(hint, Math.min(commit, previous - 1))));
            return;
        }
        long last = Math.max(previous + a.getEntriesCount(), commit);
        if (covered && previous + a.getEntriesCount() < log.base()) {
            last = commit;
        }
        List<LogEntry> added = missingEntries(a.getEntriesList());
        if (!added.isEmpty()) {
            append(added);
        }
        long verified = Math.min(last, log.lastIndex());
        commitTo(Math.min(a.getCommitIndex(), verified));
        reply.setSuccess(true).setLastIndex(log.lastIndex());
        if (added.isEmpty() && a.getEntriesCount() == 0) {
            // A heartbeat is acknowledged immediately, so that the leader does not lose its lease to a slow disk.
            reply(from, a.getIdentity(), reply.setMatchIndex(Math.min(verified, durable)));
        } else {
            reply.setMatchIndex(verified);
            afterWrites(now, syncedAt -> reply(from, a.getIdentity(), reply));
        }
    }

    /** Returns the entries starting with the first one that this log does not contain. */
    private List<LogEntry> missingEntries(List<LogEntry> entries) {
        int known = 0;
        while (known < entries.size()
                && (entries.get(known).getIndex() <= log.base()
                        || log.containsEntry(
                                entries.get(known).getIndex(),
                                entries.get(known).getTerm()))) {
            known++;
        }
        List<LogEntry> rest = entries.subList(known, entries.size());
        if (!rest.isEmpty() && rest.get(0).getIndex() <= commit) {
            throw new IllegalStateException("leader sent conflicting entry "
                    + rest.get(0).getIndex() + ", but the log is committed up to " + commit);
        }
        return rest;
    }

    private void reply(String to, String toIdentity, AppendReply.Builder reply) {
        send(to, toIdentity, GroupMessage.newBuilder().setAppendReply(reply));
    }

    private void onAppendReply(long now, AppendReply reply) {
        if (!stepDownIfNewer(now, reply.getTerm(), reply.getIdentity())
                && leadership != null
                && reply.getTerm() == term()) {
            leadership.onAppendReply(now, reply);
        }
    }

    private void onSnapshotReply(long now, SnapshotReply reply) {
        if (!stepDownIfNewer(now, reply.getTerm(), reply.getIdentity()) && leadership != null) {
            leadership.onSnapshotReply(now, reply);
        }
    }
}
