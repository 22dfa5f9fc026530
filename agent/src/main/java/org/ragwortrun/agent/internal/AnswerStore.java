package org.ragwortrun.agent.internal;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/** Finished and refused requests, kept for routers that attach later; limited by size and age. */
final class AnswerStore {
    // Memory of an entry in addition to its answer.
    private static final int ENTRY_OVERHEAD_BYTES = 512;

    private record Entry(AcceptedRequest request, long addedNanos, long bytes) {}

    private final Map<RequestKey, Entry> entries = new LinkedHashMap<>();
    private final long maxBytes;
    private final long retentionNanos;
    private long bytes;

    AnswerStore(long maxBytes, long retentionNanos) {
        this.maxBytes = maxBytes;
        this.retentionNanos = retentionNanos;
    }

    void add(AcceptedRequest request, long nowNanos) {
        remove(request.key());
        long size = request.answer().capacity() + ENTRY_OVERHEAD_BYTES;
        entries.put(request.key(), new Entry(request, nowNanos, size));
        bytes += size;
        evict(nowNanos);
    }

    Optional<AcceptedRequest> get(RequestKey key) {
        return Optional.ofNullable(entries.get(key)).map(Entry::request);
    }

    void remove(RequestKey key) {
        Entry e = entries.remove(key);
        if (e != null) {
            bytes -= e.bytes();
        }
    }

    /** Evicts the oldest answers beyond the limits, except those that a subscriber is still receiving. */
    void evict(long nowNanos) {
        Iterator<Entry> it = entries.values().iterator();
        while (it.hasNext()) {
            Entry e = it.next();
            boolean expired = nowNanos - e.addedNanos() > retentionNanos;
            if (!expired && bytes <= maxBytes) {
                return;
            }
            e.request().subscribers().removeIf(AnswerSubscriber::isClosed);
            if (e.request().subscribers().isEmpty()) {
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
