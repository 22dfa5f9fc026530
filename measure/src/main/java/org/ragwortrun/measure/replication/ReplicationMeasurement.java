package org.ragwortrun.measure.replication;

import com.sun.management.OperatingSystemMXBean;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.ragwortrun.core.error.RagwortrunException;
import org.ragwortrun.measure.Bound;
import org.ragwortrun.measure.FigureReport;
import org.ragwortrun.measure.Measurement;
import org.ragwortrun.measure.MeasurementException;

/**
 * Measures commits of 200-byte commands and the cost of idle groups, with three members in one process on loopback.
 *
 * <p>Option {@code seconds} sets the duration of each load run; an idle measurement takes twice as long.
 */
public final class ReplicationMeasurement implements Measurement {
    private static final int COMMAND_BYTES = 200;
    private static final int BUSY_OUTSTANDING = 64;
    private static final int MEMBERS = 3;
    private static final List<Integer> IDLE_GROUPS = List.of(8, 32, 64);

    @Override
    public void run(long seed, Map<String, String> options, FigureReport report) throws MeasurementException {
        long seconds = Long.parseLong(options.getOrDefault("seconds", "3"));
        try {
            Run run = new Run(seed, seconds, report);
            for (int groups : List.of(1, 4, 16)) {
                runInTempFolder(folder -> run.measureCommits(folder, groups));
            }
            for (int groups : IDLE_GROUPS) {
                runInTempFolder(folder -> run.measureIdle(folder, groups));
            }
            report.covered("commits", run.commits);
        } catch (IOException | RagwortrunException e) {
            throw new MeasurementException(String.valueOf(e.getMessage()), e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new MeasurementException("interrupted", e);
        }
    }

    /** Parameters and report of one run. */
    private static final class Run {
        private final long seed;
        private final long seconds;
        private final FigureReport report;
        private long commits;

        Run(long seed, long seconds, FigureReport report) {
            this.seed = seed;
            this.seconds = seconds;
            this.report = report;
        }

        void measureCommits(Path folder, int groups) throws IOException, RagwortrunException, InterruptedException {
            try (LocalCluster cluster = LocalCluster.start(folder, groups)) {
                // Warm-up for the JIT compiler and the file system, not measured.
                generateLoad(cluster, groups, BUSY_OUTSTANDING);
                reportLoad("groups-" + groups + "-busy", generateLoad(cluster, groups, BUSY_OUTSTANDING));
                reportLoad("groups-" + groups + "-single", generateLoad(cluster, groups, 1));
            }
        }

        private LoadGenerator generateLoad(LocalCluster cluster, int groups, int outstanding)
                throws InterruptedException {
            LoadGenerator load = new LoadGenerator();
            load.run(cluster, groups, outstanding, COMMAND_BYTES, seconds, seed);
            return load;
        }

        void measureIdle(Path folder, int groups) throws IOException, RagwortrunException, InterruptedException {
            try (LocalCluster cluster = LocalCluster.start(folder, groups)) {
                TimeUnit.SECONDS.sleep(seconds);
                OperatingSystemMXBean system = (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
                long cpu = system.getProcessCpuTime();
                long bytes = cluster.receivedBytes();
                long start = System.nanoTime();
                TimeUnit.SECONDS.sleep(2 * seconds);
                double elapsed = (System.nanoTime() - start) / 1e9;
                double cpuMicros = (system.getProcessCpuTime() - cpu) / 1e3 / elapsed;
                reportFigure("idle-" + groups + "-groups-cpu-per-member", cpuMicros / MEMBERS, "us/s");
                reportFigure(
                        "idle-" + groups + "-groups-wire-all-members",
                        (cluster.receivedBytes() - bytes) / elapsed,
                        "bytes/s");
            }
        }

        private void reportLoad(String name, LoadGenerator load) {
            commits += load.commits();
            reportFigure(name + "-commits", load.commitsPerSecond(), "1/s");
            reportFigure(name + "-latency-p50", load.latencyMillis(50), "ms");
            reportFigure(name + "-latency-p99", load.latencyMillis(99), "ms");
        }

        private void reportFigure(String name, double value, String unit) {
            report.figure("replication-" + name, value, unit, Bound.none());
        }
    }

    /** A part of the measurement that runs in a separate folder. */
    private interface FolderTask {
        void run(Path folder) throws IOException, RagwortrunException, InterruptedException;
    }

    private static void runInTempFolder(FolderTask task) throws IOException, RagwortrunException, InterruptedException {
        Path folder = Files.createTempDirectory("replication");
        try {
            task.run(folder);
        } finally {
            try (Stream<Path> files = Files.walk(folder)) {
                for (Path f : files.sorted(Comparator.reverseOrder()).toList()) {
                    Files.delete(f);
                }
            }
        }
    }
}
