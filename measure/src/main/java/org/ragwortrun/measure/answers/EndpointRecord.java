package org.ragwortrun.measure.answers;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.LongAdder;

/** What all endpoints ran and wrote, by the id of the request. */
final class EndpointRecord {
    private final Map<String, Queue<WrittenAnswer>> written = new ConcurrentHashMap<>();
    private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
    private final Map<String, LongAdder> extras = new ConcurrentHashMap<>();

    void onRun(String id) {
        runs.computeIfAbsent(id, k -> new AtomicInteger()).incrementAndGet();
    }

    void onWritten(WrittenAnswer answer) {
        written.computeIfAbsent(answer.answer().id(), k -> new ConcurrentLinkedQueue<>())
                .add(answer);
    }

    void onExtra(ExtraTime time) {
        extras.computeIfAbsent(time.name(), k -> new LongAdder()).increment();
    }

    int runs(String id) {
        AtomicInteger count = runs.get(id);
        return count == null ? 0 : count.get();
    }

    /** Returns the answers that name a request and have a proof. */
    List<WrittenAnswer> answers(String id, String proof) {
        Collection<WrittenAnswer> all = written.getOrDefault(id, new ConcurrentLinkedQueue<>());
        return all.stream().filter(a -> a.answer().proof().equals(proof)).toList();
    }

    Map<String, LongAdder> extras() {
        return Map.copyOf(extras);
    }
}
