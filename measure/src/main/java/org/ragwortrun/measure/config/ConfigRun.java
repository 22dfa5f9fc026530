package org.ragwortrun.measure.config;

import java.io.IOException;
import java.time.Clock;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.ragwortrun.core.concurrent.Closer;
import org.ragwortrun.measure.fleet.FleetException;
import org.ragwortrun.net.Transport;
import org.ragwortrun.net.control.ControlClient;
import org.ragwortrun.proto.Hello;
import org.ragwortrun.proto.Role;

/** Publishes changes, disturbs members, routers and links, and asks the routers for the newest routes meanwhile. */
final class ConfigRun implements AutoCloseable {
    private static final int PROBES = 2;
    private static final int MEMBER_PAUSE_MS = 900;
    private static final int ROUTER_PAUSE_MS = 1_500;
    private static final int LINK_PAUSE_MS = 800;
    private static final long LAG_INTERVAL_MS = 10;
    private static final long START_TIMEOUT_S = 30;
    // After the last fault, every router has been undisturbed for long enough to be judged.
    private static final long CALM_END_MS = 6_000;

    private final Closer closer = new Closer();
    private final UniformRandomProvider random;
    private final ChangeLog changes = new ChangeLog();
    private final List<RouterRecord> records = new ArrayList<>();
    private final DisturbanceLog log;
    private final ConfigFleet fleet;
    private volatile boolean running = true;
    private volatile long worstLagNanos;
    private long endNanos;

    /**
     * Creates a run with three members and six routers, or five of each if the seed is even.
     *
     * @param notes receives a line for each fault
     */
    ConfigRun(long seed, Consumer<String> notes) throws FleetException, IOException {
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        log = new DisturbanceLog(Clock.systemUTC(), notes);
        fleet = closer.register(seed % 2 == 0 ? new ConfigFleet(5, 5) : new ConfigFleet(3, 6));
        closer.register(() -> running = false);
    }

    /**
     * Plays the run to its end.
     *
     * @param busyThreads number of threads that use all the processor time that they get
     */
    void play(int seconds, int busyThreads) throws FleetException, InterruptedException {
        Transport transport = closer.register(new Transport(
                Hello.newBuilder().setName("measure").setRole(Role.OPERATOR).build(), 1));
        ControlClient control =
                closer.register(new ControlClient(transport, fleet.memberAddresses(), (peer, frame) -> {}));
        Publisher publisher = new Publisher(control, changes, random(), log);
        log.during(Disturbance.Kind.RESTARTED, fleet.routers(), () -> start(publisher));
        fleet.routers().forEach(this::startProbes);
        for (int i = 0; i < busyThreads; i++) {
            start("busy", this::keepBusy);
        }
        start("lag", this::watchLag);
        publisher.publishUntil(System.nanoTime() + ConfigJudge.CALM_NANOS);
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        List<Thread> faults = List.of(
                play(new MemberFaults(fleet, () -> control.leader(0), random(), log).all(), MEMBER_PAUSE_MS, end),
                play(new RouterFaults(fleet, random(), log).all(), ROUTER_PAUSE_MS, end),
                play(new LinkFaults(fleet, random(), log).all(), LINK_PAUSE_MS, end));
        publisher.publishUntil(end);
        for (Thread thread : faults) {
            thread.join();
        }
        log.throwFailure();
        TimeUnit.MILLISECONDS.sleep(CALM_END_MS);
        endNanos = System.nanoTime();
        running = false;
    }

    ChangeLog changes() {
        return changes;
    }

    List<RouterRecord> records() {
        return records;
    }

    DisturbanceLog log() {
        return log;
    }

    ConfigFleet fleet() {
        return fleet;
    }

    /** Returns the longest time for which this process did not run when it wanted to. */
    long worstLagNanos() {
        return worstLagNanos;
    }

    /** Returns the time at which the run ended. */
    long endNanos() {
        return endNanos;
    }

    @Override
    public void close() {
        closer.close();
    }

    private void start(Publisher publisher) throws FleetException, InterruptedException {
        fleet.processes().startAll();
        publisher.publishNext(System.nanoTime() + TimeUnit.SECONDS.toNanos(START_TIMEOUT_S));
        for (String router : fleet.routers()) {
            fleet.processes().awaitReady(router);
        }
    }

    private void startProbes(String router) {
        RouterRecord record = new RouterRecord(router, changes);
        records.add(record);
        startOldPartProbe(record);
        for (int i = 0; i < PROBES; i++) {
            start("probe", new RouteProbe(client(router, "p" + i), record, changes, () -> running));
        }
    }

    private ProbeClient client(String router, String probe) {
        return new ProbeClient(router + probe, fleet.processes().url(router));
    }

    private void startOldPartProbe(RouterRecord record) {
        start("old-parts", new OldPartProbe(client(record.router(), "o"), record, changes, () -> running));
    }

    private Thread play(List<FaultPlayer.Fault> faults, int mostPauseMs, long end) {
        return start("faults", new FaultPlayer(faults, random(), mostPauseMs, end, log));
    }

    private void keepBusy() {
        while (running) {
            Thread.onSpinWait();
        }
    }

    /** Records how much later than it wanted a thread of this process ran. */
    private void watchLag() {
        try {
            while (running) {
                long due = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(LAG_INTERVAL_MS);
                TimeUnit.MILLISECONDS.sleep(LAG_INTERVAL_MS);
                worstLagNanos = Math.max(worstLagNanos, System.nanoTime() - due);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private UniformRandomProvider random() {
        return RandomSource.XO_RO_SHI_RO_128_PP.create(random.nextLong());
    }

    private static Thread start(String name, Runnable work) {
        Thread thread = new Thread(work, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
