package org.ragwortrun.router.internal.forward;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jspecify.annotations.Nullable;
import org.ragwortrun.core.config.Configuration;
import org.ragwortrun.core.log.Event;
import org.ragwortrun.core.metrics.Metrics;
import org.ragwortrun.core.time.Time;
import org.ragwortrun.proto.Evacuation;

/**
 * Follows the evacuations in the configurations that this router applies, and records when each ended.
 *
 * <p>Configurations are applied by one thread. The queries may be called by any thread.
 */
final class EvacuationTracker {
    private static final Logger LOG = LogManager.getLogger(EvacuationTracker.class);

    private final Time time;
    private final Metrics metrics;
    private volatile @Nullable Map<String, State> states;

    EvacuationTracker(Time time, Metrics metrics) {
        this.time = time;
        this.metrics = metrics;
        metrics.gauge(
                "evacuated_data_centers",
                "Data centers whose endpoints get no requests from this router",
                () -> current().values().stream().filter(State::active).count());
    }

    /**
     * The latest order of a data center.
     *
     * @param number configuration number with which it took effect
     * @param sinceNanos monotonic time from which it has applied here
     */
    private record State(boolean active, long number, long sinceNanos) {}

    /** Compares a configuration with the one before it, logs the changes, and records the ends of evacuations. */
    void apply(Configuration configuration) {
        boolean first = states == null;
        Map<String, State> before = current();
        Map<String, State> next = new HashMap<>();
        for (Evacuation e : configuration.evacuations()) {
            State known = before.get(e.getDataCenter());
            if (known != null && known.number() == e.getNumber()) {
                next.put(e.getDataCenter(), known);
            } else {
                // Clocks of hosts differ, so a change that this router sees itself is timed by its own clock.
                long ageMs = first ? Math.max(0, time.wallMillis() - e.getChangedMs()) : 0;
                next.put(e.getDataCenter(), new State(e.getActive(), e.getNumber(), time.nanos() - ageMs * 1_000_000));
                onChange(e, ageMs, configuration.number());
            }
        }
        states = Map.copyOf(next);
    }

    private void onChange(Evacuation e, long ageMs, long number) {
        metrics.count(e.getActive() ? "evacuations_begun" : "evacuations_ended", 1);
        Event.of(e.getActive() ? "evacuation-begun" : "evacuation-ended")
                .with("data-center", e.getDataCenter())
                .with("number", e.getNumber())
                .with("config", number)
                .with("age-ms", ageMs)
                .info(LOG);
    }

    /** Returns whether a data center is being evacuated. */
    boolean isEvacuated(String dataCenter) {
        State s = current().get(dataCenter);
        return s != null && s.active();
    }

    /**
     * Returns the monotonic time at which the latest evacuation of a data center ended, as seen by this router, empty if
     * there was none or it has not ended.
     */
    OptionalLong endedNanos(String dataCenter) {
        State s = current().get(dataCenter);
        return s == null || s.active() ? OptionalLong.empty() : OptionalLong.of(s.sinceNanos());
    }

    private Map<String, State> current() {
        Map<String, State> s = states;
        return s == null ? Map.of() : s;
    }
}
