package org.ragwortrun.routing;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Reserves the maximum output of each request and queues none; a baseline for comparison.
 *
 * <p>Wastes KV cache memory when answers are short.
 */
public final class WorstCaseKvAdmission implements KvAdmission {
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    private final Map<String, Long> running = new HashMap<>();

    @Override
    public Outcome offer(Demand d, Capacity c) {
        long need = d.promptTokens() + d.maxOutput();
        if (c.kvTokens() > 0 && need > c.kvTokens()) {
            return new Outcome.TooLarge(d);
        }
        if (running.size() >= c.slots() || c.kvTokens() > 0 && reservedTokens() + need > c.kvTokens()) {
            return new Outcome.Full(d, RETRY_AFTER);
        }
        running.put(d.id(), need);
        return new Outcome.Admitted(d);
    }

    @Override
    public List<Outcome> poll(Capacity capacity) {
        return List.of();
    }

    @Override
    public void onOutputProgress(String id, long outputTokens) {}

    @Override
    public void onEnded(String id) {
        running.remove(id);
    }

    @Override
    public void onLoad(long kvUsedTokens, long preemptions) {}

    @Override
    public long reservedTokens() {
        return running.values().stream().mapToLong(Long::longValue).sum();
    }
}
