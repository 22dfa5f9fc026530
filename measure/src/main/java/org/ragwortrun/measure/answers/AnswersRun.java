package org.ragwortrun.measure.answers;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.ragwortrun.core.concurrent.Closer;
import org.ragwortrun.measure.fleet.Fleet;
import org.ragwortrun.measure.fleet.FleetException;

/** Starts control members, routers, endpoints that stutter and callers, and records what they send. */
final class AnswersRun implements AutoCloseable {
    static final String HOST = "answers.example";
    static final String ORIGIN = "o";

    private static final int SHARDS = 2;
    private static final int CONTROLS = 3;
    private static final List<String> ROUTERS = List.of("r1", "r2");
    // Endpoints with many faults are excluded by the routers, so some have few or none.
    private static final List<Double> FAULT_SHARES = List.of(0.0, 0.05, 0.2, 0.2, 0.5);
    private static final int CALLERS_PER_ROUTER = 24;

    private final EndpointRecord endpointRecord = new EndpointRecord();
    private final CallerRecord callerRecord = new CallerRecord();
    private final Closer closer = new Closer();
    private final Fleet fleet;
    private final UniformRandomProvider random;

    AnswersRun(long seed) throws FleetException {
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        fleet = closer.register(new Fleet(SHARDS));
    }

    /** Plays the run to its end. */
    void play(int seconds) throws FleetException, IOException, InterruptedException {
        List<String> addresses = new ArrayList<>();
        for (int i = 0; i < FAULT_SHARES.size(); i++) {
            addresses.add(closer.register(new StutteringEndpoint(
                            "e" + i, random.nextLong(), FAULT_SHARES.get(i), endpointRecord, callerRecord::hasLeft))
                    .address());
        }
        fleet.addControls(CONTROLS);
        for (String router : ROUTERS) {
            fleet.addForwardingRouter(router, "dc1", RouterMain.class.getName(), addresses);
        }
        fleet.startAll();
        publish();
        for (String router : ROUTERS) {
            fleet.awaitReady(router);
        }
        call(System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds));
    }

    EndpointRecord endpoints() {
        return endpointRecord;
    }

    CallerRecord callers() {
        return callerRecord;
    }

    /** Returns the lines about a request in the logs of the routers. */
    List<String> logLines(String id) throws IOException {
        List<String> lines = new ArrayList<>();
        for (String router : ROUTERS) {
            Path log = fleet.folder().resolve(router + ".log");
            try (Stream<String> all = Files.lines(log)) {
                all.filter(l -> l.contains("id=" + id + " ")).forEach(lines::add);
            }
        }
        return lines;
    }

    @Override
    public void close() {
        closer.close();
    }

    private void publish() throws FleetException {
        StringBuilder text = new StringBuilder("[origin " + ORIGIN + "]\n\n");
        for (Kind kind : Kind.values()) {
            text.append(kind.section(HOST, ORIGIN));
        }
        String files = fleet.writeFiles(text.toString()).toString();
        // Control members that are still starting do not accept a configuration.
        fleet.await(
                "the configuration to be published",
                () -> fleet.command("publish", files, "--wait", "20s").exit() == 0);
    }

    private void call(long endNanos) throws InterruptedException {
        List<Thread> threads = new ArrayList<>();
        for (String router : ROUTERS) {
            for (int i = 0; i < CALLERS_PER_ROUTER; i++) {
                threads.add(new Thread(new CallerThread(
                        router + "c" + i,
                        fleet.routerPort(router),
                        endNanos,
                        RandomSource.XO_RO_SHI_RO_128_PP.create(random.nextLong()),
                        callerRecord)));
            }
        }
        threads.forEach(Thread::start);
        for (Thread thread : threads) {
            thread.join();
        }
    }
}
