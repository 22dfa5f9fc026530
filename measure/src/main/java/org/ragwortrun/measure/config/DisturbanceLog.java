package org.ragwortrun.measure.config;

import java.time.Clock;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Consumer;
import org.ragwortrun.measure.fleet.FleetException;

/** Records the faults of a run, and the disturbances of routers among them. */
final class DisturbanceLog {
    private final Clock clock;
    private final Consumer<String> notes;
    private final Map<String, Queue<Disturbance>> disturbances = new ConcurrentHashMap<>();
    private final Queue<FleetException> failures = new ConcurrentLinkedQueue<>();
    private final Map<String, Integer> counts = new ConcurrentHashMap<>();

    /**
     * Creates an empty log.
     *
     * @param notes receives a line for each fault
     */
    DisturbanceLog(Clock clock, Consumer<String> notes) {
        this.clock = clock;
        this.notes = notes;
    }

    /** Counts and notes a fault. */
    void fault(String fault, String detail) {
        counts.merge(fault, 1, Integer::sum);
        note("fault " + fault + " " + detail);
    }

    void note(String text) {
        notes.accept(clock.instant() + " " + text);
    }

    /** Returns the time of the clock at a monotonic time. */
    Instant wallTime(long nanos) {
        return clock.instant().minusNanos(System.nanoTime() - nanos);
    }

    /** Runs an action during which routers are disturbed. */
    void during(Disturbance.Kind kind, List<String> routers, Action action)
            throws FleetException, InterruptedException {
        long from = System.nanoTime();
        try {
            action.run();
        } finally {
            Disturbance d = new Disturbance(kind, from, System.nanoTime());
            routers.forEach(r -> disturbances
                    .computeIfAbsent(r, n -> new ConcurrentLinkedQueue<>())
                    .add(d));
        }
    }

    /** Records that a fault could not be played. */
    void onFailure(FleetException e) {
        failures.add(e);
    }

    /** Fails if a fault could not be played. */
    void throwFailure() throws FleetException {
        FleetException failure = failures.peek();
        if (failure != null) {
            throw failure;
        }
    }

    /** Returns the disturbances that have ended, by router. */
    Map<String, Queue<Disturbance>> disturbances() {
        return disturbances;
    }

    /** Returns how often each fault was played. */
    Map<String, Integer> counts() {
        return counts;
    }

    /** Disturbs routers, from its start to its end. */
    @FunctionalInterface
    interface Action {
        void run() throws FleetException, InterruptedException;
    }
}
