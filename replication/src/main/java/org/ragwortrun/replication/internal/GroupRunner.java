package org.ragwortrun.replication.internal;

import com.google.protobuf.ByteString;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jspecify.annotations.Nullable;
import org.ragwortrun.core.log.Event;
import org.ragwortrun.proto.GroupMessage;
import org.ragwortrun.proto.LogEntry;
import org.ragwortrun.proto.Member;
import org.ragwortrun.replication.CommandTooLargeException;
import org.ragwortrun.replication.CorruptLogException;
import org.ragwortrun.replication.GroupStatus;
import org.ragwortrun.replication.MemberId;
import org.ragwortrun.replication.NotLeaderException;
import org.ragwortrun.replication.OverloadedException;
import org.ragwortrun.replication.ReplicatedGroup;
import org.ragwortrun.replication.StateMachine;

/** Runs the Raft core, the storage and the state machine of one group on their threads. */
public final class GroupRunner implements ReplicatedGroup {
    private static final Logger LOG = LogManager.getLogger(GroupRunner.class);
    /** Maximum command size in bytes, such that the command with its envelope fits into a frame. */
    static final int MAX_COMMAND_BYTES = 12 << 20;

    private static final int INBOX_CAPACITY = 1_024;
    private static final int WRITE_QUEUE_CAPACITY = 1_024;
    private static final int DELIVERY_QUEUE_CAPACITY = 64;
    // A message causes at most four writes, so a step never overflows the write queue.
    private static final int MAX_STEP_MESSAGES = 64;
    private static final int MIN_WRITE_CAPACITY = 4 * MAX_STEP_MESSAGES;
    private static final int MAX_STEP_PROPOSALS = 1_024;
    private static final int MAX_STEP_BYTES = 4 << 20;
    // A step may exceed the limit of the log by at most this part of it, or by one command.
    private static final int MIN_STEPS_PER_LOG = 8;
    // Entries that are written together become one record, which is kept in memory while it is written.
    private static final long MAX_RECORD_BYTES = 4L << 20;
    // A new snapshot restarts transfers of the old one, so it is deferred during transfers until the log has grown to
    // this multiple of its limits.
    private static final int SNAPSHOT_DEFERRAL_FACTOR = 16;
    // Parts of the limit of the log in memory. Entries that snapshots replace must not reach the limit, since a leader
    // then accepts no commands.
    private static final int SNAPSHOTS_PER_LOG = 4;
    private static final int DEFERRED_SNAPSHOTS_PER_LOG = 2;

    private final int group;
    private final HostContext host;
    private final RaftCore core;
    private final GroupStorage storage;
    private final Applier applier;
    private final CoalescingTask coreTask;
    private final CoalescingTask syncTask;
    private final CoalescingTask applyTask;
    private final long logBytes;
    private final BlockingQueue<GroupMessage> inbox = new ArrayBlockingQueue<>(INBOX_CAPACITY);
    private final ProposalQueue proposals;
    private final BlockingQueue<Write> writes = new ArrayBlockingQueue<>(WRITE_QUEUE_CAPACITY);
    private final BlockingQueue<Delivery> deliveries = new ArrayBlockingQueue<>(DELIVERY_QUEUE_CAPACITY);
    private final PendingCommands pendingCommands;
    private final AtomicReference<@Nullable SnapshotMeta> writtenSnapshot = new AtomicReference<>();
    private final AtomicReference<@Nullable SnapshotMeta> storedSnapshot = new AtomicReference<>();
    private final MemberId self;
    private volatile CoreView view;
    private volatile long persistedSequence;
    private volatile long restoredIndex;
    private volatile long nextTick;
    private volatile boolean snapshotting;
    private volatile boolean stopped;

    /** Work on one of the threads; any exception or error stops the group. */
    private interface Step {
        void run() throws IOException, CorruptLogException;
    }

    /**
     * Creates the runner of a group whose state machine has been restored from the snapshot.
     *
     * @param logBytesLimit size in bytes that limits the log in memory and the queued commands
     */
    public GroupRunner(
            int group,
            HostContext host,
            RaftCore core,
            GroupStorage storage,
            StateMachine machine,
            long replayTo,
            long logBytesLimit,
            GroupThreads threads) {
        this.group = group;
        this.host = host;
        this.core = core;
        this.storage = storage;
        pendingCommands = new PendingCommands(group);
        logBytes = logBytesLimit;
        proposals = new ProposalQueue(host.settings().proposalQueueCapacity(), logBytes);
        self = memberId(Member.newBuilder()
                .setName(host.settings().name())
                .setIdentity(core.identity())
                .build());
        applier = new Applier(group, machine, core.snapshot(), pendingCommands, host, replayTo);
        view = CoreView.of(core, host.clock().getAsLong());
        nextTick = core.nextTick();
        coreTask = new CoalescingTask(threads.core(), () -> runOrStop("core", this::step));
        syncTask = new CoalescingTask(threads.sync(), () -> runOrStop("sync", this::sync));
        applyTask = new CoalescingTask(threads.apply(), () -> runOrStop("apply", this::apply));
    }

    @Override
    public CompletableFuture<byte[]> propose(byte[] command) {
        if (command.length > MAX_COMMAND_BYTES) {
            return CompletableFuture.failedFuture(new CommandTooLargeException(command.length, MAX_COMMAND_BYTES));
        }
        if (view.role() != GroupStatus.Role.LEADER) {
            return CompletableFuture.failedFuture(notLeader());
        }
        ProposalQueue.Proposal p = new ProposalQueue.Proposal(ByteString.copyFrom(command), new CompletableFuture<>());
        if (!proposals.offer(p)) {
            host.metrics().count("replication_overloads", 1);
            return CompletableFuture.failedFuture(new OverloadedException(group, proposals.size()));
        }
        coreTask.schedule();
        if (stopped) {
            rejectProposals();
        }
        return p.reply();
    }

    @Override
    public void requireLease() throws NotLeaderException {
        CoreView v = view;
        boolean ready = v.role() == GroupStatus.Role.LEADER && applier.appliedIndex() >= v.readyIndex();
        // The clock is read last, so that a process that was paused before this point detects the expired lease.
        if (!ready || v.leaseUntil() - host.clock().getAsLong() <= 0) {
            throw notLeader();
        }
    }

    @Override
    public Optional<MemberId> leader() {
        return view.leader().map(this::memberId);
    }

    @Override
    public GroupStatus status() {
        CoreView v = view;
        return new GroupStatus(
                group,
                self,
                v.role(),
                leader(),
                v.term(),
                v.commitIndex(),
                applier.appliedIndex(),
                v.lastIndex(),
                v.snapshotIndex(),
                isLeased(),
                members(v, true),
                members(v, false));
    }

    /** Returns the size in bytes of the log entries in memory. */
    public long logBytes() {
        return view.logBytes();
    }

    /** Queues a message of another member, or drops it if the queue is full; Raft resends the necessary messages. */
    public void receive(GroupMessage message) {
        if (inbox.offer(message)) {
            coreTask.schedule();
        } else {
            host.metrics().count("replication_dropped_messages", 1);
        }
    }

    /** Schedules the core if a tick is due. */
    public void tick(long now) {
        if (now - nextTick >= 0) {
            coreTask.schedule();
        }
    }

    @Override
    public void close() {
        stop("closed");
    }

    /** Closes the files after the threads have ended. */
    public void closeStorage() throws IOException {
        storage.close();
    }

    // ---- core thread ----

    private void step() {
        long now = host.clock().getAsLong();
        SnapshotMeta meta = storedSnapshot.getAndSet(null);
        if (meta != null) {
            core.onSnapshotStored(now, meta);
        }
        core.onSnapshotRestored(restoredIndex);
        core.onPersisted(now, persistedSequence);
        int received = 0;
        while (received < MAX_STEP_MESSAGES && writes.remainingCapacity() > MIN_WRITE_CAPACITY) {
            GroupMessage message = inbox.poll();
            if (message == null) {
                break;
            }
            // Read after the message was taken from the queue. An earlier reading would start the time without
            // heartbeats too early, and this member could vote while its reply still supports a lease.
            now = host.clock().getAsLong();
            core.receive(now, message);
            received++;
        }
        if (received < MAX_STEP_MESSAGES && writes.remainingCapacity() > MIN_WRITE_CAPACITY) {
            takeProposals(now);
        }
        core.tick(now);
        Outputs out = core.takeOutputs(deliveries.remainingCapacity() / 2);
        if (out.leadershipLost()) {
            long committed = core.commitIndex();
            pendingCommands.failWithUnknownOutcome(index -> index > committed, "leadership ended");
        }
        // Readers must see that a lease was released before another member can be told.
        view = CoreView.of(core, now);
        nextTick = core.nextTick();
        perform(out);
        if (stopped) {
            view = view.stopped();
        } else if (!inbox.isEmpty() && writes.remainingCapacity() > MIN_WRITE_CAPACITY || canTakeProposals()) {
            coreTask.schedule();
        }
    }

    private boolean canTakeProposals() {
        return !proposals.isEmpty()
                && (core.role() != GroupStatus.Role.LEADER
                        || core.proposalCapacity() > 0 && writes.remainingCapacity() > MIN_WRITE_CAPACITY);
    }

    private void takeProposals(long now) {
        if (core.role() != GroupStatus.Role.LEADER) {
            rejectProposals();
            return;
        }
        int room = Math.min(MAX_STEP_PROPOSALS, core.proposalCapacity());
        List<ProposalQueue.Proposal> batch =
                proposals.poll(room, Math.min(MAX_STEP_BYTES, logBytes / MIN_STEPS_PER_LOG));
        if (batch.isEmpty()) {
            return;
        }
        long first = core.propose(
                now, batch.stream().map(ProposalQueue.Proposal::command).toList());
        for (int i = 0; i < batch.size(); i++) {
            pendingCommands.add(first + i, core.term(), batch.get(i).reply());
        }
    }

    private void rejectProposals() {
        ProposalQueue.Proposal p = proposals.poll();
        while (p != null) {
            p.reply().completeExceptionally(notLeader());
            p = proposals.poll();
        }
    }

    private void perform(Outputs out) {
        out.events().forEach(e -> e.with("group", group).info(LOG));
        for (OutgoingMessage o : out.messages()) {
            host.sender().accept(o.to(), o.message().setGroup(group).build());
        }
        if (!out.writes().isEmpty()) {
            writes.addAll(out.writes());
            syncTask.schedule();
        }
        if (!out.deliveries().isEmpty()) {
            deliveries.addAll(out.deliveries());
            applyTask.schedule();
        }
    }

    // ---- sync thread ----

    private void sync() throws IOException, CorruptLogException {
        List<Write> batch = new ArrayList<>();
        writes.drainTo(batch);
        List<LogEntry> entries = new ArrayList<>();
        long bytes = 0;
        for (Write w : batch) {
            if (w instanceof Write.Entries e) {
                entries.addAll(e.entries());
                bytes += e.entries().stream()
                        .mapToLong(LogEntry::getSerializedSize)
                        .sum();
                if (bytes < MAX_RECORD_BYTES) {
                    continue;
                }
            }
            append(entries);
            bytes = 0;
            if (w instanceof Write.State s) {
                storage.saveState(s.state());
            } else if (w instanceof Write.Chunk c) {
                storage.receive(c.chunk());
            } else if (w instanceof Write.ResetLog) {
                storage.resetLog();
            }
        }
        append(entries);
        storage.sync();
        if (!batch.isEmpty()) {
            persistedSequence = batch.get(batch.size() - 1).sequence();
        }
        SnapshotMeta meta = writtenSnapshot.getAndSet(null);
        if (meta != null) {
            storage.commitSnapshot(meta);
            storedSnapshot.set(meta);
            snapshotting = false;
            host.metrics().count("replication_snapshots", 1);
        }
        coreTask.schedule();
    }

    private void append(List<LogEntry> entries) throws IOException {
        if (!entries.isEmpty()) {
            storage.append(entries);
            entries.clear();
        }
    }

    // ---- apply thread ----

    private void apply() throws IOException {
        Delivery next = deliveries.poll();
        while (next != null) {
            if (next instanceof Delivery.Entries e) {
                applier.apply(e.entries());
            } else if (next instanceof Delivery.Snapshot s) {
                storage.restore(s.meta().index(), applier.machine());
                applier.onSnapshotRestored(s.meta());
                restoredIndex = s.meta().index();
            }
            snapshotIfDue();
            next = deliveries.poll();
        }
        coreTask.schedule();
    }

    private void snapshotIfDue() throws IOException {
        long entries = host.settings().snapshotEntries();
        long bytes = Math.min(host.settings().snapshotBytes(), logBytes / SNAPSHOTS_PER_LOG);
        long deferredBytes = Math.min(SNAPSHOT_DEFERRAL_FACTOR * bytes, logBytes / DEFERRED_SNAPSHOTS_PER_LOG);
        boolean due = applier.hasReachedLimit(entries, bytes)
                && (!view.sendingSnapshot()
                        || applier.hasReachedLimit(SNAPSHOT_DEFERRAL_FACTOR * entries, deferredBytes));
        if (!due || snapshotting) {
            return;
        }
        snapshotting = true;
        SnapshotMeta meta = applier.position();
        long start = host.clock().getAsLong();
        storage.writeSnapshot(meta, applier.machine());
        applier.resetCounters();
        writtenSnapshot.set(meta);
        syncTask.schedule();
        Event.of("snapshot-written")
                .with("group", group)
                .with("index", meta.index())
                .with("ms", (host.clock().getAsLong() - start) / 1_000_000)
                .info(LOG);
    }

    // ---- all threads ----

    @SuppressWarnings("PMD.AvoidCatchingGenericException")
    private void runOrStop(String stage, Step step) {
        if (stopped) {
            return;
        }
        try {
            step.run();
        } catch (IOException | CorruptLogException | RuntimeException | Error e) {
            // After a failed sync the state of the file is unknown, so the group must not write again. A step that has
            // failed has lost what it had taken from its queue, so no later step may run.
            stopped = true;
            Event.of("group-stopped").with("group", group).with("duty", stage).error(LOG, e);
            stop(stage + " failed");
            host.failureListener().run();
        }
    }

    private void stop(String reason) {
        stopped = true;
        view = view.stopped();
        rejectProposals();
        pendingCommands.failWithUnknownOutcome(index -> true, reason);
    }

    private boolean isLeased() {
        try {
            requireLease();
            return true;
        } catch (NotLeaderException e) {
            return false;
        }
    }

    private NotLeaderException notLeader() {
        return new NotLeaderException(group, leader().filter(l -> !l.identity().equals(self.identity())));
    }

    private List<MemberId> members(CoreView v, boolean voters) {
        return v.members().getMembersList().stream()
                .filter(m -> m.getVoter() == voters)
                .map(this::memberId)
                .toList();
    }

    private MemberId memberId(Member m) {
        String address = Optional.ofNullable(host.settings().members().get(m.getName()))
                .map(Object::toString)
                .orElse(m.getAddress());
        return new MemberId(m.getName(), m.getIdentity(), address);
    }
}
