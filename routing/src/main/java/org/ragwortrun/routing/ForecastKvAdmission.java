package org.ragwortrun.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import org.ragwortrun.core.time.Time;

/**
 * Admits requests by the expected output of their route and keeps a margin free that grows with preemptions.
 *
 * <p>Requests wait by priority and then in order of arrival. The first one blocks those behind it, so that small
 * requests cannot overtake a large one forever. A request whose expected wait exceeds the maximum is refused at once.
 */
public final class ForecastKvAdmission implements KvAdmission {
    private static final double INITIAL_MARGIN = 0.1;
    private static final double MIN_MARGIN = 0.02;
    private static final double MAX_MARGIN = 0.5;
    private static final double MARGIN_STEP = 0.05;
    private static final double MARGIN_DECAY = 0.995;
    // The forecast of an output that exceeds it is raised to this multiple of the output so far.
    private static final double FORECAST_GROWTH = 1.25;
    private static final double DURATION_SMOOTHING_FACTOR = 0.1;

    private final Time time;
    private final OutputForecast outputs;
    private final int maxWaiting;
    private final long maxWaitNanos;
    private final Map<String, Running> running = new HashMap<>();
    private final TreeSet<Waiting> queue = new TreeSet<>(
            Comparator.comparingInt((Waiting w) -> w.demand().priority()).thenComparingLong(w -> w.sequence()));
    private double margin = INITIAL_MARGIN;
    private double meanDurationNanos;
    private long lastPreemptions = -1;
    private long reportedUsedTokens;
    private long reservedTokens;
    private long nextSequence;

    /**
     * Creates an admission.
     *
     * @param outputs expected output by route
     * @param maxWaiting maximum number of waiting requests
     * @param maxWait maximum time that a request waits
     */
    public ForecastKvAdmission(Time time, OutputForecast outputs, int maxWaiting, Duration maxWait) {
        this.time = time;
        this.outputs = outputs;
        this.maxWaiting = maxWaiting;
        maxWaitNanos = maxWait.toNanos();
    }

    @Override
    public Outcome offer(Demand d, Capacity c) {
        if (c.kvTokens() > 0 && d.promptTokens() + d.maxOutput() > c.kvTokens()) {
            return new Outcome.TooLarge(d);
        }
        Waiting w = new Waiting(d, nextSequence++, time.nanos());
        int ahead = queue.headSet(w).size();
        if (ahead == 0 && fits(d, c)) {
            start(d);
            return new Outcome.Admitted(d);
        }
        long expected = expectedWait(ahead, c);
        if (expected > maxWaitNanos) {
            return new Outcome.Full(d, Duration.ofNanos(expected));
        }
        queue.add(w);
        if (queue.size() > maxWaiting && queue.last().equals(w)) {
            queue.remove(w);
            return new Outcome.Full(d, Duration.ofNanos(expected));
        }
        return new Outcome.Waiting(d);
    }

    @Override
    public List<Outcome> poll(Capacity c) {
        List<Outcome> outcomes = new ArrayList<>();
        long now = time.nanos();
        for (Iterator<Waiting> i = queue.iterator(); i.hasNext(); ) {
            Waiting w = i.next();
            if (now - w.since() >= maxWaitNanos) {
                i.remove();
                outcomes.add(full(w, c));
            }
        }
        while (queue.size() > maxWaiting) {
            outcomes.add(full(queue.pollLast(), c));
        }
        while (!queue.isEmpty() && fits(queue.first().demand(), c)) {
            Demand d = queue.pollFirst().demand();
            start(d);
            outcomes.add(new Outcome.Admitted(d));
        }
        return outcomes;
    }

    @Override
    public void onOutputProgress(String id, long outputTokens) {
        Running r = running.get(id);
        if (r == null) {
            return;
        }
        r.output = Math.max(r.output, outputTokens);
        if (r.output > r.forecast) {
            long forecast = Math.max(r.output, Math.min(r.demand.maxOutput(), (long) (r.output * FORECAST_GROWTH)));
            reservedTokens += forecast - r.forecast;
            r.forecast = forecast;
        }
    }

    @Override
    public void onEnded(String id) {
        queue.removeIf(w -> w.demand().id().equals(id));
        Running r = running.remove(id);
        if (r == null) {
            return;
        }
        reservedTokens -= r.demand.promptTokens() + r.forecast;
        outputs.onFinished(r.demand.route(), "", r.output);
        double nanos = time.nanos() - r.since;
        meanDurationNanos = meanDurationNanos == 0
                ? nanos
                : meanDurationNanos + DURATION_SMOOTHING_FACTOR * (nanos - meanDurationNanos);
    }

    @Override
    public void onLoad(long kvUsedTokens, long preemptions) {
        reportedUsedTokens = kvUsedTokens;
        // The counter restarts at zero with the endpoint, so a lower value is no preemption.
        boolean preempted = lastPreemptions >= 0 && preemptions > lastPreemptions;
        lastPreemptions = preemptions;
        margin = preempted ? Math.min(MAX_MARGIN, margin + MARGIN_STEP) : Math.max(MIN_MARGIN, margin * MARGIN_DECAY);
    }

    @Override
    public long reservedTokens() {
        return reservedTokens;
    }

    /** Returns the fraction of the capacity that is kept free. */
    double margin() {
        return margin;
    }

    private boolean fits(Demand d, Capacity c) {
        if (running.size() >= c.slots()) {
            return false;
        }
        // An idle endpoint admits any request that fits into its memory; a large one might never fit below the margin.
        if (c.kvTokens() <= 0 || running.isEmpty()) {
            return true;
        }
        // The reported usage may exceed the forecast, because other callers and cached prefixes use the memory too.
        long used = Math.max(reservedTokens, reportedUsedTokens);
        return used + d.promptTokens() + expectedOutput(d) <= c.kvTokens() * (1 - margin);
    }

    private void start(Demand d) {
        Running r = new Running(d, expectedOutput(d), time.nanos());
        running.put(d.id(), r);
        reservedTokens += d.promptTokens() + r.forecast;
    }

    private long expectedOutput(Demand d) {
        return (long) Math.ceil(outputs.expect(d.route(), "", d.maxOutput()));
    }

    private Outcome full(Waiting w, Capacity c) {
        return new Outcome.Full(w.demand(), Duration.ofNanos(expectedWait(queue.size(), c)));
    }

    private long expectedWait(int ahead, Capacity c) {
        int concurrency = Math.max(1, Math.min(c.slots(), running.size()));
        return (long) (meanDurationNanos * (ahead + 1) / concurrency);
    }

    private static final class Running {
        private final Demand demand;
        private final long since;
        private long forecast;
        private long output;

        Running(Demand demand, long forecast, long since) {
            this.demand = demand;
            this.forecast = forecast;
            this.since = since;
        }
    }

    private record Waiting(Demand demand, long sequence, long since) {}
}
