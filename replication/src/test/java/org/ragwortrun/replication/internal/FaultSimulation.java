package org.ragwortrun.replication.internal;

import com.google.protobuf.ByteString;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.ragwortrun.proto.GroupMessage;
import org.ragwortrun.proto.LogEntry;
import org.ragwortrun.proto.Member;
import org.ragwortrun.proto.PersistedState;
import org.ragwortrun.replication.CorruptLogException;
import org.ragwortrun.replication.GroupStatus.Role;

/**
 * Runs the Raft cores of one group under a seeded schedule of faults and checks the invariants after each event.
 *
 * <p>Time is simulated. Each member's clock runs at its own rate, and the rates differ by up to 10 %.
 */
final class FaultSimulation {
    static final long MS = 1_000_000;
    static final long TIMEOUT = 100 * MS;
    private static final Logger LOG = LogManager.getLogger(FaultSimulation.class);
    // Logs the events of all members, to debug a failing seed.
    private static final boolean TRACE = Boolean.getBoolean("schedule.trace");
    private static final int SNAPSHOT_EVERY = 25;

    final Map<String, SimulatedMember> membersByName = new TreeMap<>();
    private final Random random;
    private final PriorityQueue<Action> actions =
            new PriorityQueue<>(Comparator.comparingLong(Action::at).thenComparingLong(Action::order));
    private final Map<Long, LogEntry> committed = new HashMap<>();
    /** Terms, by index, of the members that first applied the committed entries. */
    private final Map<Long, Long> commitTerms = new HashMap<>();

    private final Map<Long, String> leaders = new HashMap<>();
    private final Set<String> brokenLinks = new HashSet<>();
    private final List<String> names;
    private long now;
    private long order;
    private int identities;
    private long acknowledged;
    private int proposals;
    private boolean faultFree;
    private boolean proposalsPaused;
    final Map<String, Integer> counts = new TreeMap<>();

    private record Action(long at, long order, Runnable body) {}

    private record LocalSnapshot(SnapshotMeta meta, byte[] bytes) {}

    /** Member with a simulated disk. */
    final class SimulatedMember {
        final String name;
        private final double rate;
        private final long offset;
        private PersistedState state = PersistedState.getDefaultInstance();
        private SnapshotMeta snapshot = SnapshotMeta.NONE;
        private byte[] snapshotBytes = {};
        private List<LogEntry> log = new ArrayList<>();
        private ByteArrayOutputStream incoming = new ByteArrayOutputStream();
        private final List<Object> unsynced = new ArrayList<>();
        private final List<GroupMessage> frozenInbox = new ArrayList<>();
        private boolean syncing;
        private boolean frozen;
        private int incarnation;
        private RaftCore core;
        private long leaseUntil;
        private long applied;
        private int sinceSnapshot;
        private long syncTime;
        private List<String> machine = new ArrayList<>();

        SimulatedMember(String name) {
            this.name = name;
            rate = 1 + random.nextDouble() * 0.1;
            offset = Math.floorMod(random.nextLong(), 1_000 * MS);
        }

        long clock() {
            return offset + (long) (now * rate);
        }

        boolean isUp() {
            return core != null;
        }

        RaftCore core() {
            return core;
        }

        List<String> machine() {
            return machine;
        }

        void start() {
            if (state.getIdentity().isEmpty()) {
                identities++;
                state = PersistedState.newBuilder()
                        .setIdentity(name + "#" + identities)
                        .build();
            }
            CoreSettings settings = CoreSettings.of(
                            name,
                            name,
                            names.stream().filter(n -> !n.equals(name)).toList(),
                            names,
                            TIMEOUT,
                            names.get(names.size() - 1))
                    .withSizes(200, 1024, 5);
            core = new RaftCore(
                    settings,
                    new RestoredState(state, snapshot, replay()),
                    this::readSnapshot,
                    new Random(random.nextLong()),
                    clock());
            applied = snapshot.index();
            machine = parse(snapshotBytes);
            sinceSnapshot = 0;
            incarnation++;
            scheduleTick(incarnation);
        }

        void crash() {
            // Any prefix of the writes not yet reported as synced may have reached the disk.
            int reached = random.nextInt(unsynced.size() + 1);
            unsynced.subList(0, reached).forEach(this::perform);
            unsynced.clear();
            frozenInbox.clear();
            incoming = new ByteArrayOutputStream();
            syncing = false;
            frozen = false;
            core = null;
            leaseUntil = 0;
            incarnation++;
        }

        void wipe() {
            state = PersistedState.getDefaultInstance();
            snapshot = SnapshotMeta.NONE;
            snapshotBytes = new byte[0];
            log = new ArrayList<>();
        }

        void freeze(boolean freeze) {
            frozen = freeze;
            if (!freeze && isUp()) {
                List<GroupMessage> delayed = List.copyOf(frozenInbox);
                frozenInbox.clear();
                delayed.forEach(m -> core.receive(clock(), m));
                flush();
            }
        }

        void receive(GroupMessage m) {
            if (!isUp()) {
                return;
            }
            if (frozen) {
                frozenInbox.add(m);
                return;
            }
            core.receive(clock(), m);
            flush();
        }

        void propose() {
            if (isUp() && !frozen && core.role() == Role.LEADER && core.proposalCapacity() > 0) {
                List<ByteString> batch = new ArrayList<>();
                for (int i = random.nextInt(4); i >= 0; i--) {
                    proposals++;
                    batch.add(ByteString.copyFromUtf8("p" + proposals));
                }
                core.propose(clock(), batch);
                flush();
            }
        }

        boolean holdsLease() {
            return isUp() && leaseUntil - clock() > 0;
        }

        private void scheduleTick(int scheduledIncarnation) {
            schedule(MS + random.nextInt((int) (8 * MS)), () -> {
                if (incarnation == scheduledIncarnation) {
                    if (!frozen) {
                        core.tick(clock());
                        flush();
                    }
                    scheduleTick(scheduledIncarnation);
                }
            });
        }

        private void flush() {
            Outputs out = core.takeOutputs(Integer.MAX_VALUE);
            leaseUntil = core.leaseUntil(clock());
            if (core.role() == Role.LEADER) {
                recordLeader(this);
            }
            unsynced.addAll(out.writes());
            if (!faultFree && out.writes().stream().anyMatch(w -> w instanceof Write.State) && random.nextInt(8) == 0) {
                // Makes the member forget a vote that was sent before it was synced.
                schedule((long) (random.nextDouble() * 3 * MS), () -> crashAndRestart(this, 2 * MS, false));
            }
            out.deliveries().forEach(this::deliver);
            out.events().forEach(e -> {
                counts.merge(e.toString().split(" ")[0], 1, Integer::sum);
                trace(name + " " + e);
            });
            out.messages().forEach(o -> send(name, o));
            scheduleSync();
        }

        private void deliver(Delivery delivery) {
            if (delivery instanceof Delivery.Snapshot s) {
                // The state machine may load the snapshot slowly.
                int scheduledIncarnation = incarnation;
                machine = parse(incomingState(s.meta()));
                applied = s.meta().index();
                sinceSnapshot = 0;
                schedule((long) (random.nextDouble() * 30 * MS), () -> {
                    if (incarnation == scheduledIncarnation) {
                        core.onSnapshotRestored(s.meta().index());
                    }
                });
                return;
            }
            boolean leads = core.role() == Role.LEADER;
            for (LogEntry e : ((Delivery.Entries) delivery).entries()) {
                if (leads) {
                    acknowledged = Math.max(acknowledged, e.getIndex());
                }
                check(e.getIndex() == applied + 1, "entry " + e.getIndex() + " applied after " + applied);
                LogEntry known = committed.putIfAbsent(e.getIndex(), e);
                commitTerms.putIfAbsent(e.getIndex(), core.term());
                check(known == null || known.equals(e), "two committed entries at index " + e.getIndex());
                applied = e.getIndex();
                machine.add(
                        e.getIndex() + ":" + e.getTerm() + ":" + e.getCommand().toStringUtf8());
                sinceSnapshot++;
            }
            if (sinceSnapshot >= SNAPSHOT_EVERY && !core.isSendingSnapshot(clock())) {
                sinceSnapshot = 0;
                LogEntry last = committed.get(applied);
                SnapshotMeta meta =
                        new SnapshotMeta(applied, last.getTerm(), core.log().membersAt(applied));
                unsynced.add(new LocalSnapshot(meta, String.join("\n", machine).getBytes(StandardCharsets.UTF_8)));
            }
        }

        private byte[] incomingState(SnapshotMeta meta) {
            check(snapshot.index() == meta.index(), "snapshot " + meta.index() + " is not stored");
            return snapshotBytes;
        }

        private void scheduleSync() {
            if (syncing || unsynced.isEmpty()) {
                return;
            }
            syncing = true;
            int scheduledIncarnation = incarnation;
            int batch = unsynced.size();
            long delay = random.nextInt(20) == 0 ? 60 * MS : 5 * MS;
            schedule(syncTime + (long) (random.nextDouble() * delay), () -> {
                if (incarnation == scheduledIncarnation) {
                    finishSync(batch);
                }
            });
        }

        private void finishSync(int batch) {
            syncing = false;
            List<Object> done = List.copyOf(unsynced.subList(0, batch));
            unsynced.subList(0, batch).clear();
            long sequence = 0;
            for (Object write : done) {
                perform(write);
                if (write instanceof Write w) {
                    sequence = w.sequence();
                }
            }
            core.onPersisted(clock(), sequence);
            for (Object write : done) {
                if (write instanceof LocalSnapshot own) {
                    core.onSnapshotStored(clock(), own.meta());
                }
            }
            flush();
        }

        private void perform(Object write) {
            if (write instanceof Write.State s) {
                state = s.state();
            } else if (write instanceof Write.Entries e) {
                for (LogEntry entry : e.entries()) {
                    log.removeIf(old -> old.getIndex() >= entry.getIndex());
                    log.add(entry);
                }
            } else if (write instanceof Write.ResetLog) {
                log.clear();
            } else if (write instanceof LocalSnapshot own) {
                if (own.meta().index() > snapshot.index()) {
                    store(own.meta(), own.bytes());
                    log.removeIf(old -> old.getIndex() <= own.meta().index());
                }
            } else if (write instanceof Write.Chunk c) {
                if (c.chunk().getOffset() == 0) {
                    incoming = new ByteArrayOutputStream();
                }
                incoming.writeBytes(c.chunk().getData().toByteArray());
                if (c.chunk().getDone()) {
                    store(
                            new SnapshotMeta(
                                    c.chunk().getLastIndex(),
                                    c.chunk().getLastTerm(),
                                    c.chunk().getMembers()),
                            incoming.toByteArray());
                }
            }
        }

        private void store(SnapshotMeta meta, byte[] bytes) {
            snapshot = meta;
            snapshotBytes = bytes;
        }

        private List<LogEntry> replay() {
            LogReplay replay = new LogReplay(snapshot);
            try {
                for (LogEntry e : log) {
                    replay.add(Path.of("log"), 0, e);
                }
                List<LogEntry> tail = replay.tail(Path.of("log"));
                if (replay.isDropped()) {
                    log.clear();
                }
                return tail;
            } catch (CorruptLogException e) {
                throw new AssertionError(name + " cannot restart", e);
            }
        }

        private Optional<SnapshotSource.Part> readSnapshot(long index, long from, int max) {
            if (index != snapshot.index()) {
                return Optional.empty();
            }
            int end = (int) Math.min(snapshotBytes.length, from + max);
            return Optional.of(new SnapshotSource.Part(
                    ByteString.copyFrom(snapshotBytes, (int) from, end - (int) from), end == snapshotBytes.length));
        }

        private static List<String> parse(byte[] bytes) {
            String text = new String(bytes, StandardCharsets.UTF_8);
            return text.isEmpty() ? new ArrayList<>() : new ArrayList<>(List.of(text.split("\n")));
        }
    }

    FaultSimulation(long seed, int members) {
        random = new Random(seed);
        List<String> all = new ArrayList<>();
        for (int i = 1; i <= members; i++) {
            all.add("c" + i);
        }
        names = all;
        names.forEach(n -> membersByName.put(n, new SimulatedMember(n)));
    }

    /** Runs with faults and then without, and checks that every member has become a voter and has applied entries. */
    void run(long faultyMillis, long calmMillis) {
        membersByName.values().forEach(SimulatedMember::start);
        scheduleFault();
        scheduleProposals();
        runUntil(faultyMillis * MS);
        faultFree = true;
        brokenLinks.clear();
        for (SimulatedMember b : membersByName.values()) {
            b.freeze(false);
            if (!b.isUp()) {
                b.start();
            }
        }
        runUntil(now + calmMillis * MS);
        checkRecovered();
    }

    /**
     * Runs without faults, while each member syncs in its own time up to a maximum, and checks that a leader has committed
     * entries and that all members catch up when they sync fast again.
     */
    void runWithSlowSyncs(long maxSyncMillis, long millis) {
        faultFree = true;
        for (SimulatedMember b : membersByName.values()) {
            b.syncTime = (long) (random.nextDouble() * maxSyncMillis * MS);
            b.start();
        }
        scheduleProposals();
        runUntil(millis * MS);
        checkLed();
        check(committed.size() > 1, "nothing but the members is committed");
        membersByName.values().forEach(b -> b.syncTime = 0);
        runUntil(now + millis * MS);
        checkRecovered();
    }

    private void runUntil(long end) {
        while (!actions.isEmpty() && actions.peek().at() <= end) {
            Action next = actions.remove();
            now = next.at();
            next.body().run();
            checkLease();
        }
        now = end;
    }

    private void schedule(long delay, Runnable body) {
        order++;
        actions.add(new Action(now + delay, order, body));
    }

    private void scheduleProposals() {
        schedule((long) (random.nextDouble() * 10 * MS), () -> {
            // While nothing is proposed, a member that has lost contact with the leader has a complete log and can win
            // an election.
            proposalsPaused = random.nextInt(30) == 0 ? !proposalsPaused : proposalsPaused;
            if (!proposalsPaused || faultFree) {
                membersByName.values().forEach(SimulatedMember::propose);
            }
            scheduleProposals();
        });
    }

    private void scheduleFault() {
        schedule((long) (random.nextDouble() * 200 * MS), () -> {
            if (!faultFree) {
                injectFault();
                scheduleFault();
            }
        });
    }

    private void injectFault() {
        SimulatedMember victim = membersByName.get(names.get(random.nextInt(names.size())));
        // Half of the faults end within the duration of a lease.
        long time = (long) (random.nextDouble() * (random.nextBoolean() ? 600 : 20) * MS);
        switch (random.nextInt(6)) {
            case 0 -> crashAndRestart(victim, time, false);
            case 1 -> crashAndRestart(victim, time, mayWipe());
            case 2 -> {
                victim.freeze(true);
                schedule(time, () -> victim.freeze(false));
            }
            case 3 -> names.forEach(other -> breakLink(victim.name, other, time, true));
            case 4 -> breakLink(victim.name, names.get(random.nextInt(names.size())), time, false);
            default ->
                names.stream().filter(n -> random.nextBoolean()).forEach(n -> breakLink(victim.name, n, time, true));
        }
    }

    private void crashAndRestart(SimulatedMember victim, long time, boolean wipe) {
        if (!victim.isUp()) {
            return;
        }
        counts.merge(wipe ? "fault=wipe" : "fault=crash", 1, Integer::sum);
        trace(victim.name + (wipe ? " is wiped" : " crashes"));
        victim.crash();
        if (wipe) {
            victim.wipe();
        }
        schedule(time, () -> {
            if (!victim.isUp()) {
                victim.start();
            }
        });
    }

    /** Returns whether another disk may be wiped: no identity in the newest committed member set may be lost. */
    private boolean mayWipe() {
        Optional<LogEntry> newest = committed.values().stream()
                .filter(LogEntry::hasMembers)
                .max(Comparator.comparingLong(LogEntry::getIndex));
        Set<String> present =
                membersByName.values().stream().map(b -> b.state.getIdentity()).collect(Collectors.toSet());
        return newest.isPresent()
                && newest.get().getMembers().getMembersList().stream()
                        .map(Member::getIdentity)
                        .allMatch(present::contains)
                && newest.get().getMembers().getMembersList().stream()
                                .filter(Member::getVoter)
                                .count()
                        == names.size();
    }

    private void breakLink(String a, String b, long time, boolean bothWays) {
        counts.merge("fault=cut", 1, Integer::sum);
        brokenLinks.add(a + ">" + b);
        if (bothWays) {
            brokenLinks.add(b + ">" + a);
        }
        schedule(time, () -> {
            brokenLinks.remove(a + ">" + b);
            brokenLinks.remove(b + ">" + a);
        });
    }

    private void send(String from, OutgoingMessage out) {
        GroupMessage message = out.message().build();
        int copies = faultFree || random.nextInt(20) != 0 ? 1 : 2;
        for (int i = 0; i < copies; i++) {
            boolean lost = !faultFree && random.nextInt(20) == 0;
            // Random delays reorder messages.
            long maxDelay = random.nextInt(50) == 0 ? 150 * MS : 4 * MS;
            if (!lost) {
                schedule((long) (random.nextDouble() * maxDelay), () -> {
                    if (!brokenLinks.contains(from + ">" + out.to())) {
                        membersByName.get(out.to()).receive(message);
                    }
                });
            }
        }
    }

    private void recordLeader(SimulatedMember box) {
        String identity = box.core.identity();
        String earlier = leaders.putIfAbsent(box.core.term(), identity);
        check(earlier == null || earlier.equals(identity), "two leaders in term " + box.core.term());
        if (earlier == null) {
            // A vote may reach a candidate after a later term has begun, and its leader may have committed entries.
            committed.values().stream()
                    .filter(e -> e.getIndex() >= box.core.log().base())
                    .filter(e -> commitTerms.get(e.getIndex()) <= box.core.term())
                    .forEach(e -> check(
                            box.core.log().containsEntry(e.getIndex(), e.getTerm()),
                            "leader of term " + box.core.term() + " lacks committed entry " + e.getIndex()));
        }
    }

    private void checkLease() {
        List<String> holders = membersByName.values().stream()
                .filter(SimulatedMember::holdsLease)
                .map(b -> b.name)
                .toList();
        check(holders.size() <= 1, "lease held by " + holders);
        for (SimulatedMember b : membersByName.values()) {
            boolean serves = b.holdsLease() && b.applied >= b.core.readyIndex();
            check(!serves || b.applied >= acknowledged, b.name + " serves reads without entry " + acknowledged);
        }
    }

    private void checkRecovered() {
        for (SimulatedMember b : membersByName.values()) {
            check(b.core.isVoter(), b.name + " has not become a voter");
            check(b.machine.size() > 0, b.name + " has applied nothing");
        }
        checkLed();
        long last = committed.keySet().stream().mapToLong(i -> i).max().orElse(0);
        for (SimulatedMember b : membersByName.values()) {
            check(b.applied > last - 200, b.name + " has applied " + b.applied + " of " + last);
        }
    }

    private void checkLed() {
        long leading = membersByName.values().stream()
                .filter(SimulatedMember::holdsLease)
                .count();
        check(leading == 1, leading + " members hold the lease while there are no faults");
    }

    private void trace(String line) {
        if (TRACE) {
            LOG.info("{} ms {}", now / MS, line);
        }
    }

    int committedCount() {
        return committed.size();
    }

    private void check(boolean holds, String what) {
        if (!holds) {
            throw new AssertionError(what + " at " + now / MS + " ms");
        }
    }
}
