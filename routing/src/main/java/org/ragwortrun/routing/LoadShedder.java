package org.ragwortrun.routing;

import java.util.NavigableMap;
import java.util.TreeMap;

/**
 * Decides which new requests an overloaded host refuses, so that they are served at another host.
 *
 * <p>A proportional-integral controller sets the fraction of requests to shed so that the utilization returns to its
 * target. Shedding starts above the target and ends after the utilization has been below the lower threshold for some
 * time. The fraction is taken from the least urgent requests first. Among requests of the same priority it is taken from
 * the client accounts that send more than their max-min fair share. Within an account, requests are shed at regular
 * intervals. Not thread-safe. Times are monotonic nanoseconds.
 */
public final class LoadShedder {
    private static final double SECOND_NANOS = 1e9;
    // At the lower threshold requests hardly wait for the link. The target is above it, because a host whose peers are
    // loaded as well should serve what it can: at a target of 0.8 it would refuse a fifth of what it could serve.
    private static final double LINK_THRESHOLD = 0.80;
    private static final double PROCESSOR_THRESHOLD = 0.85;
    private static final double TARGET = 0.92;
    // A full link receives at its capacity, however much is sent to it, so the excess is unknown.
    private static final double SATURATED = 0.98;
    private static final double SATURATED_ERROR = 0.2;
    private static final double MAX_ERROR = 0.5;
    private static final double PROPORTIONAL_GAIN = 0.5;
    private static final double INTEGRAL_GAIN_PER_SECOND = 1.5;
    // Some requests are always served: the load may have a cause that refusals do not remove.
    private static final double MAX_FRACTION = 0.9;
    // Only the integral counts, because the proportional part falls to 0 in each random lull of an overloaded host.
    private static final double LASTING_FRACTION = 0.05;
    // After a start the compiler of the runtime uses the processor, whatever is refused.
    private static final long COMPILATION_NANOS = 15_000_000_000L;
    private static final double MAX_STEP_SECONDS = 0.3;
    private static final long CALM_NANOS = 500_000_000L;
    // With fewer requests than these, something else uses the processor, such as the compiler after a start.
    private static final double MIN_REQUESTS_PER_SECOND = 2;

    private final NavigableMap<Integer, PriorityLoad> priorities = new TreeMap<>();
    private final long startNanos;
    private double integral;
    private double fraction;
    private long updatedNanos;
    private long busyNanos;

    /**
     * Creates a shedder.
     *
     * @param now time of the start of the process, from which processor time does not count for a while
     */
    public LoadShedder(long now) {
        startNanos = now;
        updatedNanos = now;
        busyNanos = now;
    }

    /** Adjusts the fraction to a new measurement. Called at regular intervals. */
    public void update(HostUtilization u, long now) {
        double seconds = (now - updatedNanos) / SECOND_NANOS;
        updatedNanos = now;
        priorities.values().forEach(p -> p.decay(seconds));
        priorities.values().removeIf(p -> p.perSecond() == 0);
        boolean started = now - startNanos >= COMPILATION_NANOS;
        adjust(started ? u : new HostUtilization(u.in(), u.out(), 0), Math.min(seconds, MAX_STEP_SECONDS), now);
        distribute();
    }

    /** Records a new request and returns whether it is accepted. */
    public boolean accepts(int priority, String account) {
        return priorities
                .computeIfAbsent(PriorityLoad.clamp(priority), p -> new PriorityLoad())
                .accepts(account);
    }

    /** Returns the part of all new requests that is refused. */
    public double fraction() {
        return fraction;
    }

    /** Returns whether the load has exceeded the target for longer than random peaks do. */
    public boolean isOverloaded() {
        return integral > LASTING_FRACTION;
    }

    /** Returns the recent requests per second, refused ones included. */
    public double requestsPerSecond() {
        return priorities.values().stream().mapToDouble(PriorityLoad::perSecond).sum();
    }

    /** Returns the priority by which a request is counted; there is a bounded number of them. */
    public static int reportedPriority(int priority) {
        return PriorityLoad.clamp(priority);
    }

    private void adjust(HostUtilization u, double seconds, long now) {
        if (u.link() >= LINK_THRESHOLD || u.processor() >= PROCESSOR_THRESHOLD) {
            busyNanos = now;
        }
        boolean calm = now - busyNanos >= CALM_NANOS;
        if (calm || requestsPerSecond() < MIN_REQUESTS_PER_SECOND) {
            integral = 0;
            fraction = 0;
            return;
        }
        double error = error(u);
        integral = clamp(integral + INTEGRAL_GAIN_PER_SECOND * error * seconds);
        fraction = clamp(integral + PROPORTIONAL_GAIN * error);
    }

    private static double error(HostUtilization u) {
        double error = u.highest() - TARGET;
        return u.highest() >= SATURATED ? Math.min(MAX_ERROR, Math.max(error, SATURATED_ERROR)) : error;
    }

    private void distribute() {
        double toShed = fraction * requestsPerSecond();
        for (PriorityLoad p : priorities.descendingMap().values()) {
            double here = Math.min(toShed, p.perSecond());
            p.shed(here);
            toShed -= here;
        }
    }

    private static double clamp(double value) {
        return Math.min(MAX_FRACTION, Math.max(0, value));
    }
}
