package org.ragwortrun.standins;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;

/** Events of a stand-in engine's prefix cache, published after a lag and optionally with gaps. */
final class CacheEvents {
    private static final int MAX_ENTRIES = 1_000;

    private record Entry(long seq, long atNanos, List<Long> stored, List<Long> removed) {}

    private final Deque<Entry> entries = new ArrayDeque<>();
    private final Deque<Long> cached = new ArrayDeque<>();
    private final long lagNanos;
    private final int capacity;
    private int gapEvery;
    private long seq;

    CacheEvents(int lagMs, int capacity) {
        lagNanos = lagMs * 1_000_000L;
        this.capacity = capacity;
    }

    /** Drops every n-th event; 0 drops none. */
    synchronized void dropEvery(int n) {
        gapEvery = n;
    }

    synchronized void recordStored(List<Long> hashes) {
        List<Long> added = new ArrayList<>();
        List<Long> removed = new ArrayList<>();
        for (Long h : hashes) {
            if (!cached.contains(h)) {
                cached.add(h);
                added.add(h);
            }
        }
        while (cached.size() > capacity) {
            removed.add(cached.removeFirst());
        }
        if (added.isEmpty() && removed.isEmpty()) {
            return;
        }
        seq++;
        if (gapEvery == 0 || seq % gapEvery != 0) {
            entries.add(new Entry(seq, System.nanoTime(), added, removed));
        }
        if (entries.size() > MAX_ENTRIES) {
            entries.removeFirst();
        }
    }

    synchronized Map<String, Object> eventsAfter(long after) {
        long now = System.nanoTime();
        List<Map<String, Object>> events = new ArrayList<>();
        long last = after;
        for (Entry e : entries) {
            if (e.seq() > after && now - e.atNanos() >= lagNanos) {
                events.add(Map.of("seq", e.seq(), "stored", e.stored(), "removed", e.removed()));
                last = e.seq();
            }
        }
        return Map.of("events", events, "last", last);
    }
}
