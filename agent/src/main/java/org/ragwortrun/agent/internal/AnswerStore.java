package org.ragwortrun.agent.internal;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/** Finished and refused requests, kept for readers that come back; bounded by bytes and time. */
final class AnswerStore {
    // Cost of an entry beside its answer.
    private static final int ENTRY_BYTES = 512;

    private record Entry(RunningRequest request, long atNanos, long bytes) {}

    private final Map<RequestKey, Entry> entries = new LinkedHashMap<>();
    private final long maxBytes;
    private final long keepNanos;
    private long bytes;

    AnswerStore(long maxBytes, long keepNanos) {
        this.maxBytes = maxBytes;
        this.keepNanos = keepNanos;
    }

    void add(RunningRequest request, long nowNanos) {
        remove(request.key());
        long size = request.answer().memory() + ENTRY_BYTES;
        entries.put(request.key(), new Entry(request, nowNanos, size));
        bytes += size;
        evict(nowNanos);
    }

    Optional<RunningRequest> get(RequestKey key) {
        return Optional.ofNullable(entries.get(key)).map(Entry::request);
    }

    void remove(RequestKey key) {
        Entry e = entries.remove(key);
        if (e != null) {
            bytes -= e.bytes();
        }
    }

    /** Drops the oldest answers beyond the bounds, but none that a reader is still receiving. */
    void evict(long nowNanos) {
        Iterator<Entry> it = entries.values().iterator();
        while (it.hasNext()) {
            Entry e = it.next();
            boolean expired = nowNanos - e.atNanos() > keepNanos;
            if (!expired && bytes <= maxBytes) {
                return;
            }
            e.request().answerReaders().removeIf(AnswerSubscriber::isClosed);
            if (e.request().answerReaders().isEmpty()) {
                it.remove();
                bytes -= e.bytes();
            }
        }
    }

    long bytes() {
        return bytes;
    }

    int size() {
        return entries.size();
    }
}
