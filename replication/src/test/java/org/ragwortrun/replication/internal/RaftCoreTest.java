package org.ragwortrun.replication.internal;

import static com.google.common.truth.Truth.assertThat;

import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.junit.jupiter.api.Test;
import org.ragwortrun.core.log.Event;

/**
 * Simulations of random faults with fixed seeds. A failure message contains the seed; {@code -Dschedule.seed=N
 * -Dschedule.count=1} reproduces it.
 */
final class RaftCoreTest {
    private static final Logger LOG = LogManager.getLogger(RaftCoreTest.class);
    private static final long FIRST_SEED = Long.getLong("schedule.seed", 1);
    private static final int COUNT = Integer.getInteger("schedule.count", 60);

    /**
     * Guards against two leaders in a term, diverging logs, lost committed entries and two lease holders under message
     * loss, duplication, reordering, crashes, frozen members, partitions and wiped disks. Also guards against a group
     * that does not recover.
     */
    @Test
    void threeMembersKeepTheInvariants() {
        runSimulations(3, s -> s.run(10_000, 3_000));
    }

    /** Guards against the same failures with five members. */
    @Test
    void fiveMembersKeepTheInvariants() {
        runSimulations(5, s -> s.run(10_000, 3_000));
    }

    /** Guards against elections without an end while a sync takes longer than the election timeout of 100 ms. */
    @Test
    void electsWhileSyncsTakeLongerThanTheTimeout() {
        runSimulations(3, s -> s.runWithSlowSyncs(1_000, 30_000));
    }

    private static void runSimulations(int members, Consumer<FaultSimulation> run) {
        Map<String, Integer> counts = new TreeMap<>();
        long committed = 0;
        for (long seed = FIRST_SEED; seed < FIRST_SEED + COUNT; seed++) {
            FaultSimulation simulation = new FaultSimulation(seed, members);
            try {
                run.accept(simulation);
            } catch (AssertionError | RuntimeException e) {
                throw new AssertionError("seed " + seed + " with " + members + " members: " + e.getMessage(), e);
            }
            committed += simulation.committedCount();
            simulation.counts.forEach((name, n) -> counts.merge(name, n, Integer::sum));
        }
        Event.of("schedules-run")
                .with("members", members)
                .with("first_seed", FIRST_SEED)
                .with("seeds", COUNT)
                .with("committed", committed)
                .with("counts", counts)
                .info(LOG);
        assertThat(committed).isGreaterThan(0);
    }
}
