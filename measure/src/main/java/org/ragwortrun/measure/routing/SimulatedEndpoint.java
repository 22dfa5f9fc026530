package org.ragwortrun.measure.routing;

import java.util.ArrayDeque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import org.ragwortrun.measure.budgets.EventQueue;
import org.ragwortrun.router.internal.forward.PromptPart;

/**
 * Queueing model of an endpoint: requests wait for a slot and for memory, prompts are read one after the other, and all
 * running requests share the steps in which events are generated.
 */
final class SimulatedEndpoint {
    private static final double TOKENS_PER_MS = 91.8;
    private static final double STEP_MS = 3.9;
    // Part of a step that grows with the number of running requests.
    private static final double STEP_SHARED = 0.5;
    private static final double PLAIN_MS = 43;
    private static final int MAX_CACHED_PARTS = 100;
    private static final double MICROS_PER_MS = 1_000;

    private final EventQueue events;
    private final RoutingLoad load;
    private final int number;
    private final Queue<SimulatedRequest> waiting = new ArrayDeque<>();
    private final Map<String, Integer> cachedParts = new LinkedHashMap<>(16, 0.75f, true);
    private double readingUntilMs;
    private int running;
    private long usedTokens;

    SimulatedEndpoint(EventQueue events, RoutingLoad load, int number) {
        this.events = events;
        this.load = load;
        this.number = number;
    }

    /** Accepts a request unless the queue is full. */
    boolean offer(SimulatedRequest r) {
        if (waiting.size() >= load.queue()) {
            return false;
        }
        waiting.add(r);
        startNext();
        return true;
    }

    private void startNext() {
        while (!waiting.isEmpty() && running < load.slots() && fits(waiting.peek())) {
            start(waiting.remove());
        }
    }

    private boolean fits(SimulatedRequest r) {
        return running == 0 || usedTokens + r.maxTokens() <= load.kvTokens().get(number);
    }

    private void start(SimulatedRequest r) {
        running++;
        usedTokens += r.maxTokens();
        double nowMs = events.micros() / MICROS_PER_MS;
        double speed = speed();
        if (!load.model()) {
            after(PLAIN_MS * r.size() / speed, () -> end(r));
            return;
        }
        readingUntilMs = Math.max(nowMs, readingUntilMs) + uncached(r.parts()) / (TOKENS_PER_MS * speed);
        double gapMs = STEP_MS / speed * (1 + STEP_SHARED * running / load.slots());
        after(readingUntilMs - nowMs + gapMs, () -> {
            r.listener().onFirstEvent();
            after(gapMs * SimulatedRequest.GAP_EVENTS, () -> r.listener().onGap(gapMs));
            after(gapMs * r.events(), () -> end(r));
        });
    }

    private void end(SimulatedRequest r) {
        running--;
        usedTokens -= r.maxTokens();
        r.listener().onEnd();
        startNext();
    }

    private double speed() {
        RoutingLoad.Disturbance d = load.disturbance();
        boolean slow = d.endpoint() == number && d.isActive(events.millis());
        return load.speeds().get(number) / (slow ? d.slowdown() : 1);
    }

    private int uncached(List<PromptPart> parts) {
        int uncached = 0;
        boolean follows = true;
        for (PromptPart p : parts) {
            follows &= cachedParts.containsKey(p.id());
            uncached += follows ? 0 : p.tokens();
            cachedParts.put(p.id(), p.tokens());
        }
        while (cachedParts.size() > MAX_CACHED_PARTS) {
            cachedParts.remove(cachedParts.keySet().iterator().next());
        }
        return uncached;
    }

    private void after(double ms, Runnable task) {
        events.after((long) (ms * MICROS_PER_MS), task);
    }
}
