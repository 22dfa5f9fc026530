package org.ragwortrun.measure.config;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.ListSampler;
import org.ragwortrun.measure.fleet.FleetException;

/** Plays faults of one sort in series, each as often as the others. */
final class FaultPlayer implements Runnable {
    private final List<Fault> faults;
    private final UniformRandomProvider random;
    private final int mostPauseMs;
    private final long endNanos;
    private final DisturbanceLog log;

    /**
     * Creates a player.
     *
     * @param mostPauseMs longest time between two faults
     * @param endNanos time after which no fault begins
     */
    FaultPlayer(List<Fault> faults, UniformRandomProvider random, int mostPauseMs, long endNanos, DisturbanceLog log) {
        this.faults = faults;
        this.random = random;
        this.mostPauseMs = mostPauseMs;
        this.endNanos = endNanos;
        this.log = log;
    }

    @Override
    public void run() {
        try {
            while (true) {
                List<Fault> round = new ArrayList<>(faults);
                ListSampler.shuffle(random, round);
                for (Fault fault : round) {
                    TimeUnit.MILLISECONDS.sleep(random.nextInt(mostPauseMs));
                    if (System.nanoTime() - endNanos >= 0) {
                        return;
                    }
                    fault.play();
                }
            }
        } catch (FleetException e) {
            log.onFailure(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Begins and ends a fault. */
    @FunctionalInterface
    interface Fault {
        void play() throws FleetException, InterruptedException;
    }
}
