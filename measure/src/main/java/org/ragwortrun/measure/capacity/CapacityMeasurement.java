package org.ragwortrun.measure.capacity;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.apache.commons.math3.stat.regression.SimpleRegression;
import org.ragwortrun.core.concurrent.Closer;
import org.ragwortrun.core.concurrent.SingleThreadExecutor;
import org.ragwortrun.core.config.Configuration;
import org.ragwortrun.core.config.ConfigurationException;
import org.ragwortrun.core.id.Digests;
import org.ragwortrun.core.metrics.Metrics;
import org.ragwortrun.core.time.Time;
import org.ragwortrun.ledger.GrantPolicy;
import org.ragwortrun.ledger.ShardState;
import org.ragwortrun.measure.Bound;
import org.ragwortrun.measure.FigureReport;
import org.ragwortrun.measure.Measurement;
import org.ragwortrun.measure.MeasurementException;
import org.ragwortrun.measure.fleet.Fleet;
import org.ragwortrun.measure.fleet.FleetException;
import org.ragwortrun.net.Address;
import org.ragwortrun.net.Transport;
import org.ragwortrun.net.control.ConfigWatch;
import org.ragwortrun.net.control.ControlClient;
import org.ragwortrun.proto.ApplyTopUps;
import org.ragwortrun.proto.BudgetRef;
import org.ragwortrun.proto.Hello;
import org.ragwortrun.proto.OpenSession;
import org.ragwortrun.proto.RequestGrant;
import org.ragwortrun.proto.Role;
import org.ragwortrun.proto.Section;
import org.ragwortrun.proto.SettleBatch;
import org.ragwortrun.proto.ShardCommand;
import org.ragwortrun.proto.TopUp;
import org.ragwortrun.proto.Usage;

/** Slopes of memory and processor time, each over three sizes. */
public final class CapacityMeasurement implements Measurement {
    private static final int[] BUDGETS = {20_000, 40_000, 80_000};
    private static final int[] IDS = {50_000, 100_000, 200_000};
    private static final int[] ACCOUNTS = {8_000, 16_000, 32_000};
    private static final int[] WATCHERS = {40, 80, 160};
    private static final int BATCH = 1_000;
    private static final long SETTLE_MS = 3_000;
    private static final long WINDOW_MS = 6_000;
    private static final long LARGE = 1L << 50;

    @Override
    public void run(long seed, Map<String, String> options, FigureReport report) throws MeasurementException {
        try {
            slope(report, "shard_bytes_per_budget", "bytes", BUDGETS, n -> heapOf(() -> budgets(n)));
            slope(report, "shard_bytes_per_id", "bytes", IDS, n -> heapOf(() -> ids(n)));
            slope(report, "daemon_bytes_per_account", "bytes", ACCOUNTS, n -> heapOf(() -> configuration(n)));
            slope(report, "meta_leader_cpu_per_daemon", "us/s", WATCHERS, CapacityMeasurement::watchers);
            report.covered("sizes", BUDGETS.length + IDS.length + ACCOUNTS.length + WATCHERS.length);
        } catch (FleetException e) {
            throw new MeasurementException(String.valueOf(e.getMessage()), e);
        }
    }

    private static void slope(FigureReport report, String name, String unit, int[] sizes, Cost cost)
            throws FleetException {
        SimpleRegression line = new SimpleRegression();
        for (int n : sizes) {
            double value = cost.of(n);
            line.addData(n, value);
            report.note(name + " size=" + n + " cost=" + Bound.number(value));
        }
        report.figure(name, line.getSlope(), unit, Bound.none());
        report.figure(name + "_fit", line.getRSquare(), "r2", Bound.none());
    }

    /** Returns the heap that an object keeps alive, in bytes. */
    private static double heapOf(Source source) throws FleetException {
        long before = usedHeap();
        Object kept = source.create();
        long after = usedHeap();
        if (kept.hashCode() == 0) {
            // Keeps the object reachable until the heap has been read.
            return after - before - 1;
        }
        return after - before;
    }

    private static long usedHeap() {
        Runtime runtime = Runtime.getRuntime();
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        return runtime.totalMemory() - runtime.freeMemory();
    }

    private static Object budgets(int n) {
        ShardState shard = newShard();
        ApplyTopUps.Builder topUps = ApplyTopUps.newBuilder().setConfigNumber(1);
        for (int i = 0; i < n; i++) {
            BudgetRef budget = BudgetRef.newBuilder()
                    .setAccount("account-" + i / 20)
                    .setService("service-" + i % 20)
                    .build();
            topUps.addTopUps(TopUp.newBuilder().setBudget(budget).setId("first").setTokens(1_000_000));
            if (topUps.getTopUpsCount() == BATCH) {
                shard.apply(ShardCommand.newBuilder().setApplyTopUps(topUps).build());
                topUps.clearTopUps();
            }
        }
        return shard;
    }

    private static Object ids(int n) {
        ShardState shard = newShard();
        BudgetRef budget = BudgetRef.newBuilder()
                .setAccount("account")
                .setService("service")
                .build();
        long now = System.currentTimeMillis();
        shard.apply(ShardCommand.newBuilder()
                .setNowMs(now)
                .setApplyTopUps(ApplyTopUps.newBuilder()
                        .addTopUps(TopUp.newBuilder()
                                .setBudget(budget)
                                .setId("first")
                                .setTokens(LARGE)))
                .build());
        shard.apply(ShardCommand.newBuilder()
                .setNowMs(now)
                .setOpenSession(OpenSession.newBuilder().setRouter("r").setIncarnation("r@1"))
                .build());
        shard.apply(ShardCommand.newBuilder()
                .setNowMs(now)
                .setRequestGrant(RequestGrant.newBuilder()
                        .setBudget(budget)
                        .setIncarnation("r@1")
                        .setGrantId("r@1-1")
                        .setMinimum(1_000_000_000)
                        .setWanted(1_000_000_000))
                .build());
        SettleBatch.Builder batch = SettleBatch.newBuilder().setReporter("r");
        for (int i = 0; i < n; i++) {
            batch.addUsages(Usage.newBuilder()
                    .setBudget(budget)
                    .setRequestId("r@1-request-" + i)
                    .setGrantId("r@1-1")
                    .setIncarnation("r@1")
                    .setTokens(10)
                    .setEndpoint("endpoint-" + i % 600)
                    .setVersion("v1")
                    .setRoute("chat")
                    .setStatus(200));
            if (batch.getUsagesCount() == BATCH) {
                shard.apply(
                        ShardCommand.newBuilder().setNowMs(now).setSettle(batch).build());
                batch.clearUsages();
            }
        }
        return shard;
    }

    private static Object configuration(int n) throws FleetException {
        List<Section> sections = new ArrayList<>();
        for (int i = 0; i < n; i++) {
            sections.add(Section.newBuilder()
                    .setKind("account")
                    .setName("account-" + i)
                    .putProperties("keys", Digests.apiKey("key-" + i))
                    .setFile("accounts.ini")
                    .setLine(i)
                    .build());
        }
        try {
            return List.of(sections, Configuration.of(1, sections, List.of(), List.of()));
        } catch (ConfigurationException e) {
            throw new FleetException("generated configuration is invalid", e);
        }
    }

    /** Returns the processor time of all control members in microseconds per second for n watching daemons. */
    private static double watchers(int n) throws FleetException {
        try (Fleet fleet = new Fleet(1);
                Closer closer = new Closer()) {
            fleet.addControls(3);
            fleet.startAll();
            Map<String, Address> members = new LinkedHashMap<>();
            for (String name : List.of("c1", "c2", "c3")) {
                members.put(name, new Address("127.0.0.1", fleet.controlPort(name)));
            }
            ScheduledExecutorService timer = SingleThreadExecutor.timer("watchers");
            closer.register(() -> SingleThreadExecutor.stop(timer));
            List<ConfigWatch> watches = new ArrayList<>();
            for (int i = 0; i < n; i++) {
                Hello own = Hello.newBuilder()
                        .setName("daemon-" + i)
                        .setIncarnation("daemon-" + i + "@1")
                        .setRole(Role.AGENT)
                        .build();
                Transport transport = closer.register(new Transport(own, 1));
                ControlClient control = closer.register(new ControlClient(transport, members, (p, f) -> {}));
                ConfigWatch watch =
                        closer.register(new ConfigWatch(control, timer, Time.system(), Metrics.local(), c -> {}));
                watch.start(Duration.ofSeconds(1));
                watches.add(watch);
            }
            fleet.await(
                    "all leases",
                    () -> watches.stream().allMatch(w -> w.inForce().isPresent()));
            pause(SETTLE_MS);
            long before = cpu(fleet);
            long start = System.nanoTime();
            pause(WINDOW_MS);
            double seconds = (System.nanoTime() - start) / 1e9;
            return (cpu(fleet) - before) * 1_000 / seconds;
        }
    }

    private static long cpu(Fleet fleet) throws FleetException {
        return fleet.process("c1").cpuMillis()
                + fleet.process("c2").cpuMillis()
                + fleet.process("c3").cpuMillis();
    }

    private static void pause(long ms) throws FleetException {
        try {
            TimeUnit.MILLISECONDS.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new FleetException("interrupted", e);
        }
    }

    private static ShardState newShard() {
        return new ShardState(GrantPolicy.demand());
    }

    /** Cost at one size. */
    @FunctionalInterface
    private interface Cost {
        double of(int size) throws FleetException;
    }

    /** Creates the object whose memory is measured. */
    @FunctionalInterface
    private interface Source {
        Object create() throws FleetException;
    }
}
