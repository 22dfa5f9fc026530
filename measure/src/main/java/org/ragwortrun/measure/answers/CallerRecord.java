package org.ragwortrun.measure.answers;

import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicLong;

/** What all callers sent and saw. */
final class CallerRecord {
    private final Map<String, Kind> sent = new ConcurrentHashMap<>();
    private final Queue<SeenAnswer> seen = new ConcurrentLinkedQueue<>();
    private final Queue<Violation> violations = new ConcurrentLinkedQueue<>();
    private final Set<String> left = ConcurrentHashMap.newKeySet();
    private final AtomicLong silent = new AtomicLong();

    void onSent(String id, Kind kind) {
        sent.put(id, kind);
    }

    void onSeen(SeenAnswer answer) {
        seen.add(answer);
    }

    void onViolation(Violation violation) {
        violations.add(violation);
    }

    void onLeft(String id) {
        left.add(id);
    }

    boolean hasLeft(String id) {
        return left.contains(id);
    }

    /** Counts a connection on which nothing arrived within the caller's time limit. */
    void onSilent() {
        silent.incrementAndGet();
    }

    Map<String, Kind> sent() {
        return Map.copyOf(sent);
    }

    List<SeenAnswer> seen() {
        return List.copyOf(seen);
    }

    List<Violation> violations() {
        return List.copyOf(violations);
    }

    long left() {
        return left.size();
    }

    long silent() {
        return silent.get();
    }
}
