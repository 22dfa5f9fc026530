package org.ragwortrun.measure.replication;

import java.util.Random;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.ragwortrun.replication.ReplicatedGroup;

/** Proposes commands to groups, with a fixed number outstanding in each, and measures commits and latency. */
final class LoadGenerator {
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final long DRAIN_SECONDS = 10;

    private final Histogram latencyMicros = new ConcurrentHistogram(SIGNIFICANT_DIGITS);
    private final AtomicLong failures = new AtomicLong();
    private long elapsedNanos;

    /** Generates load for a duration. Each group has a thread that proposes commands; replies free its slots. */
    void run(LocalCluster cluster, int groups, int outstanding, int commandBytes, long seconds, long seed)
            throws InterruptedException {
        long start = System.nanoTime();
        long end = start + TimeUnit.SECONDS.toNanos(seconds);
        Thread[] threads = new Thread[groups];
        for (int i = 0; i < groups; i++) {
            ReplicatedGroup group = cluster.leader(i);
            Random random = new Random(seed + i);
            threads[i] = new Thread(() -> propose(group, outstanding, commandBytes, end, random), "load-" + i);
            threads[i].start();
        }
        for (Thread t : threads) {
            t.join();
        }
        elapsedNanos = System.nanoTime() - start;
    }

    double commitsPerSecond() {
        return latencyMicros.getTotalCount() * 1e9 / elapsedNanos;
    }

    double latencyMillis(double percentile) {
        return latencyMicros.getValueAtPercentile(percentile) / 1e3;
    }

    long commits() {
        return latencyMicros.getTotalCount();
    }

    long failures() {
        return failures.get();
    }

    private void propose(ReplicatedGroup group, int outstanding, int commandBytes, long end, Random random) {
        Semaphore slots = new Semaphore(outstanding);
        byte[] command = new byte[commandBytes];
        random.nextBytes(command);
        try {
            while (System.nanoTime() - end < 0) {
                slots.acquire();
                long sent = System.nanoTime();
                group.propose(command).whenComplete((reply, failure) -> {
                    if (failure == null) {
                        latencyMicros.recordValue((System.nanoTime() - sent) / 1_000);
                    } else {
                        failures.incrementAndGet();
                    }
                    slots.release();
                });
            }
            slots.tryAcquire(outstanding, DRAIN_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
