package org.ragwortrun.replication;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.LongSupplier;
import java.util.stream.Stream;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jspecify.annotations.Nullable;
import org.ragwortrun.core.concurrent.Closer;
import org.ragwortrun.core.concurrent.SingleThreadExecutor;
import org.ragwortrun.core.id.Incarnations;
import org.ragwortrun.core.log.Event;
import org.ragwortrun.core.metrics.Metrics;
import org.ragwortrun.core.time.Time;
import org.ragwortrun.net.Address;
import org.ragwortrun.net.FrameClient;
import org.ragwortrun.net.FrameHandler;
import org.ragwortrun.net.Peer;
import org.ragwortrun.net.Transport;
import org.ragwortrun.proto.Frame;
import org.ragwortrun.proto.GroupMessage;
import org.ragwortrun.replication.internal.CoreSettings;
import org.ragwortrun.replication.internal.GroupRunner;
import org.ragwortrun.replication.internal.GroupStorage;
import org.ragwortrun.replication.internal.GroupThreads;
import org.ragwortrun.replication.internal.HostContext;
import org.ragwortrun.replication.internal.MemberConnections;
import org.ragwortrun.replication.internal.RaftCore;
import org.ragwortrun.replication.internal.RestoredState;

/**
 * Runs the replicated groups of one process. It opens connections to the other members; the owner of this object listens
 * for incoming connections and passes frames that carry a {@code GroupMessage} to {@link #onFrame}.
 *
 * <p>Each group has a folder {@code group-N} with its own identity. A member whose folder is empty gets a new identity
 * and requests to join; it counts in no quorum until it has every entry and a committed member set names it as a voter.
 *
 * <p>Bootstrap: the first member of the bootstrap list creates a group when every listed member has reported that it has
 * never held a log entry or given a vote. While a listed member does not report or has a log, no group is created, so
 * that a wiped member joins the existing group instead. All listed members must therefore run at the same time once.
 */
public final class GroupHost implements AutoCloseable {
    private static final Logger LOG = LogManager.getLogger(GroupHost.class);
    private static final int TICKS_PER_TIMEOUT = 12;
    private static final long MEMBER_UPDATE_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    private final Closer closer = new Closer();
    private final Map<Integer, GroupRunner> groups = new TreeMap<>();
    private final HostContext context;
    private final MemberConnections connections;
    private final AtomicBoolean failed = new AtomicBoolean();
    private volatile Runnable failureListener = () -> {};
    private long nextMemberUpdate;

    private GroupHost(HostSettings settings, Transport transport, Time time, Metrics metrics) {
        long origin = time.nanos();
        context = new HostContext(settings, () -> time.nanos() - origin, metrics, this::send, this::fail);
        connections =
                closer.register(new MemberConnections(settings.name(), settings.members(), a -> connect(transport, a)));
    }

    /**
     * Restores the groups from the data folder and starts them.
     *
     * @param machines an empty state machine for each group number
     * @throws CorruptLogException if stored state of a group is damaged; its folder must be cleared
     * @throws StorageException if the folder cannot be used or another process uses it
     */
    public static GroupHost open(
            HostSettings settings, Map<Integer, StateMachine> machines, Transport transport, Time time, Metrics metrics)
            throws CorruptLogException, StorageException {
        return open(settings, machines, transport, time, time.nanos(), metrics);
    }

    /**
     * Restores the groups from the data folder and starts them.
     *
     * @param machines an empty state machine for each group number
     * @param processStartNanos reading of {@code time} since which no earlier process has used the folder; members give
     *     no vote for one election timeout after it
     * @throws CorruptLogException if stored state of a group is damaged; its folder must be cleared
     * @throws StorageException if the folder cannot be used or another process uses it
     */
    public static GroupHost open(
            HostSettings settings,
            Map<Integer, StateMachine> machines,
            Transport transport,
            Time time,
            long processStartNanos,
            Metrics metrics)
            throws CorruptLogException, StorageException {
        GroupHost host = new GroupHost(settings, transport, time, metrics);
        boolean started = false;
        try {
            host.start(machines, time, processStartNanos);
            started = true;
            return host;
        } catch (IOException e) {
            throw new StorageException(settings.folder(), e);
        } finally {
            if (!started) {
                host.close();
            }
        }
    }

    /**
     * Returns a group.
     *
     * @throws IllegalArgumentException if this host has no such group
     */
    public ReplicatedGroup group(int number) {
        GroupRunner runner = groups.get(number);
        if (runner == null) {
            throw new IllegalArgumentException("this host has no group " + number);
        }
        return runner;
    }

    /** Handles a frame with a {@code GroupMessage} and ignores other frames. Does not block. */
    public void onFrame(Peer peer, Frame frame) {
        if (frame.hasGroupMessage()) {
            connections.recordIncoming(frame.getGroupMessage().getFrom(), peer);
            GroupRunner runner = groups.get(frame.getGroupMessage().getGroup());
            if (runner != null) {
                runner.receive(frame.getGroupMessage());
            }
        }
    }

    /**
     * Sets the listener that is called once when a group has stopped because of a storage failure. Since the state of
     * the files is then unknown, this host stays stopped; the owner must open a new host on the same folder.
     */
    public void onFailure(Runnable listener) {
        failureListener = listener;
        if (failed.get()) {
            listener.run();
        }
    }

    /** Stops all groups and fails pending commands. */
    @Override
    public void close() {
        groups.values().forEach(GroupRunner::close);
        closer.close();
    }

    private void start(Map<Integer, StateMachine> machines, Time time, long processStartNanos)
            throws IOException, CorruptLogException {
        HostSettings settings = context.settings();
        Files.createDirectories(settings.folder());
        closer.register(lock(settings.folder()));
        closer.register(this::closeStorage);
        long processStart = context.clock().getAsLong() - Math.max(0, time.nanos() - processStartNanos);
        List<GroupThreads> threads = new ArrayList<>();
        for (int i = 0; i < Math.min(settings.threadsPerStage(), machines.size()); i++) {
            threads.add(GroupThreads.start(i, machines.size(), closer));
        }
        long logBytes = settings.logBytes() / Math.max(1, machines.size());
        for (Map.Entry<Integer, StateMachine> e : new TreeMap<>(machines).entrySet()) {
            GroupThreads assigned = threads.get(groups.size() % threads.size());
            groups.put(e.getKey(), restore(e.getKey(), e.getValue(), time, processStart, logBytes, assigned));
        }
        closer.register(context.metrics()
                .gauge(
                        "replication_log_bytes",
                        "Size of the log entries in memory",
                        () -> groups.values().stream()
                                .mapToLong(GroupRunner::logBytes)
                                .sum()));
        ScheduledExecutorService timer = SingleThreadExecutor.timer("replication-timer");
        closer.register(() -> SingleThreadExecutor.stop(timer));
        long period = Math.max(1, settings.electionTimeout().toMillis() / TICKS_PER_TIMEOUT);
        timer.scheduleAtFixedRate(SingleThreadExecutor.guarded(this::tick), 0, period, TimeUnit.MILLISECONDS);
    }

    private GroupRunner restore(
            int group, StateMachine machine, Time time, long processStart, long logBytes, GroupThreads threads)
            throws IOException, CorruptLogException {
        HostSettings settings = context.settings();
        LongSupplier clock = context.clock();
        long start = clock.getAsLong();
        GroupStorage.Opened opened = GroupStorage.open(
                settings.folder().resolve("group-" + group),
                () -> Incarnations.create(settings.name(), time.wallMillis()));
        RestoredState restored = opened.restored();
        if (restored.snapshot().index() > 0) {
            opened.storage().restore(restored.snapshot().index(), machine);
        }
        List<String> names = settings.members().keySet().stream().sorted().toList();
        CoreSettings core = CoreSettings.of(
                        settings.name(),
                        String.valueOf(settings.members().get(settings.name())),
                        names.stream().filter(n -> !n.equals(settings.name())).toList(),
                        settings.bootstrap(),
                        settings.electionTimeout().toNanos(),
                        names.get(Math.floorMod(group, names.size())))
                .withLogBytes(logBytes);
        Random random = new Random(restored.state().getIdentity().hashCode() * 31L + group);
        RaftCore raft = new RaftCore(core, restored, opened.storage(), random, clock.getAsLong(), processStart);
        Event.of("group-restarted")
                .with("group", group)
                .with("identity", raft.identity())
                .with("snapshot", restored.snapshot().index())
                .with("entries", restored.entries().size())
                .with("truncated_bytes", opened.truncatedBytes())
                .with("ms", (clock.getAsLong() - start) / 1_000_000)
                .info(LOG);
        return new GroupRunner(group, context, raft, opened.storage(), machine, raft.lastIndex(), logBytes, threads);
    }

    private FrameClient connect(Transport transport, Address address) {
        return transport.connect(address, new FrameHandler() {
            @Override
            public void onFrame(Peer peer, Frame frame) {
                GroupHost.this.onFrame(peer, frame);
            }
        });
    }

    private void send(String to, GroupMessage message) {
        connections
                .connectionTo(to)
                .ifPresent(
                        p -> p.send(Frame.newBuilder().setGroupMessage(message).build()));
    }

    private void fail() {
        if (failed.compareAndSet(false, true)) {
            failureListener.run();
        }
    }

    private void tick() {
        long now = context.clock().getAsLong();
        groups.values().forEach(g -> g.tick(now));
        if (now - nextMemberUpdate >= 0) {
            nextMemberUpdate = now + MEMBER_UPDATE_NANOS;
            connections.updateMembers(groups.values().stream()
                    .map(GroupRunner::status)
                    .flatMap(s -> Stream.concat(s.voters().stream(), s.learners().stream()))
                    .toList());
        }
    }

    private void closeStorage() throws IOException {
        for (GroupRunner runner : groups.values()) {
            runner.closeStorage();
        }
    }

    private static FileChannel lock(Path folder) throws IOException {
        FileChannel channel =
                FileChannel.open(folder.resolve("lock"), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        @Nullable Object fileLock = null;
        try {
            fileLock = channel.tryLock();
        } catch (OverlappingFileLockException e) {
            // handled below, like a lock held by another process
        }
        if (fileLock == null) {
            channel.close();
            throw new IOException("another process uses this folder");
        }
        return channel;
    }
}
