package org.ragwortrun.routing;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Recognizes callers that return at or after the time they were given.
 *
 * <p>A retry has a new request id, so a caller is recognized by its account and target. Callers with the same account and
 * target cannot be told apart; each time that was given lets one of them go first. A caller that returns early is
 * treated as a new one, and its time remains valid. Times are monotonic nanoseconds.
 */
public final class ReturningCallers {
    private static final int MAX_KEYS = 4_096;
    private static final int MAX_TIMES = 16;
    // Callers that retry at another router do not return, so their times are discarded.
    private static final long VALID_NANOS = 2_000_000_000L;

    private final Map<Key, Deque<Long>> due = new LinkedHashMap<>(16, 0.75f, true);
    private int count;

    private record Key(String account, String target) {}

    /** Records that a caller was told to return at a time. */
    public void onRefused(String account, String target, long dueNanos) {
        Deque<Long> times = due.computeIfAbsent(new Key(account, target), k -> new ArrayDeque<>());
        times.add(dueNanos);
        count++;
        if (times.size() > MAX_TIMES) {
            times.remove();
            count--;
        }
        if (due.size() > MAX_KEYS) {
            Key eldest = due.keySet().iterator().next();
            count -= due.getOrDefault(eldest, new ArrayDeque<>()).size();
            due.remove(eldest);
        }
    }

    /** Returns whether a request comes from a caller that returns at or after its time, which is then used up. */
    public boolean isReturning(String account, String target, long now) {
        Key key = new Key(account, target);
        Deque<Long> times = due.get(key);
        if (times == null) {
            return false;
        }
        int before = times.size();
        times.removeIf(t -> now - t > VALID_NANOS);
        boolean returning = times.stream()
                .filter(t -> now - t >= 0)
                .findFirst()
                .map(times::remove)
                .orElse(false);
        count -= before - times.size();
        if (times.isEmpty()) {
            due.remove(key);
        }
        return returning;
    }

    /** Returns the number of times that were given and have not been used, including those of callers that went away. */
    public int count(long now) {
        // The least recently used keys are first, so those that were abandoned are found without reading all.
        while (!due.isEmpty()) {
            Map.Entry<Key, Deque<Long>> eldest = due.entrySet().iterator().next();
            if (eldest.getValue().stream().anyMatch(t -> now - t <= VALID_NANOS)) {
                break;
            }
            count -= eldest.getValue().size();
            due.remove(eldest.getKey());
        }
        return count;
    }
}
