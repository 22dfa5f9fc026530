package org.ragwortrun.measure.replication;

import com.sun.management.OperatingSystemMXBean;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.ragwortrun.core.error.RagwortrunException;

/**
 * Measures commits of 200-byte commands and the cost of idle groups with three members in one process on loopback.
 *
 * <p>Arguments: {@code --seed N} (default 1) and {@code --seconds N} per figure (default 5).
 */
public final class ReplicationRunner {
    private static final int COMMAND_BYTES = 200;
    private static final int BUSY_OUTSTANDING = 64;
    private static final int IDLE_GROUPS = 64;
    private static final int MEMBERS = 3;

    private final long seed;
    private final long seconds;
    private long commits;
    private long failures;

    private ReplicationRunner(long seed, long seconds) {
        this.seed = seed;
        this.seconds = seconds;
    }

    public static void main(String[] args) throws IOException, RagwortrunException, InterruptedException {
        ReplicationRunner runner = new ReplicationRunner(number(args, "--seed", 1), number(args, "--seconds", 5));
        System.exit(runner.run() ? 0 : 1);
    }

    private boolean run() throws IOException, RagwortrunException, InterruptedException {
        for (int groups : List.of(1, 4, 16)) {
            inFolder(folder -> commit(folder, groups));
        }
        inFolder(this::idle);
        System.out.println("covered commits=" + commits + " failures=" + failures);
        return commits > 0;
    }

    private void commit(Path folder, int groups) throws IOException, RagwortrunException, InterruptedException {
        try (Trio trio = Trio.start(folder, groups)) {
            // Not measured: lets the compiler and the file system settle.
            load(trio, groups, BUSY_OUTSTANDING);
            report("groups-" + groups + "-busy", load(trio, groups, BUSY_OUTSTANDING));
            report("groups-" + groups + "-single", load(trio, groups, 1));
        }
    }

    private Load load(Trio trio, int groups, int outstanding) throws InterruptedException {
        Load load = new Load();
        load.run(trio, groups, outstanding, COMMAND_BYTES, seconds, seed);
        return load;
    }

    private void idle(Path folder) throws IOException, RagwortrunException, InterruptedException {
        try (Trio trio = Trio.start(folder, IDLE_GROUPS)) {
            TimeUnit.SECONDS.sleep(seconds);
            OperatingSystemMXBean system = (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
            long cpu = system.getProcessCpuTime();
            long bytes = trio.receivedBytes();
            long start = System.nanoTime();
            TimeUnit.SECONDS.sleep(2 * seconds);
            double elapsed = (System.nanoTime() - start) / 1e9;
            double cpuMicros = (system.getProcessCpuTime() - cpu) / 1e3 / elapsed;
            line("idle-group-cpu-per-member", cpuMicros / IDLE_GROUPS / MEMBERS, "us/s");
            line("idle-group-wire-all-members", (trio.receivedBytes() - bytes) / elapsed / IDLE_GROUPS, "bytes/s");
        }
    }

    private void report(String name, Load load) {
        commits += load.commits();
        failures += load.failures();
        line(name + "-commits", load.commitsPerSecond(), "1/s");
        line(name + "-latency-p50", load.millisAt(50), "ms");
        line(name + "-latency-p99", load.millisAt(99), "ms");
    }

    private void line(String name, double value, String unit) {
        System.out.println(
                String.format(Locale.ROOT, "replication-%s=%.3f unit=%s bound=none seed=%d", name, value, unit, seed));
    }

    /** A part of the measurement that needs a folder of its own. */
    private interface Part {
        void run(Path folder) throws IOException, RagwortrunException, InterruptedException;
    }

    private static void inFolder(Part part) throws IOException, RagwortrunException, InterruptedException {
        Path folder = Files.createTempDirectory("replication");
        try {
            part.run(folder);
        } finally {
            try (Stream<Path> files = Files.walk(folder)) {
                for (Path f : files.sorted(Comparator.reverseOrder()).toList()) {
                    Files.delete(f);
                }
            }
        }
    }

    private static long number(String[] args, String option, long fallback) {
        for (int i = 0; i + 1 < args.length; i++) {
            if (args[i].equals(option)) {
                return Long.parseLong(args[i + 1]);
            }
        }
        return fallback;
    }
}
