package org.ragwortrun.agent.internal;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;

/** Accepted requests that wait for a place, by priority and then by arrival; bounded by number and bytes. */
final class WaitingQueue {
    private static final Comparator<RunningRequest> ORDER = Comparator.<RunningRequest>comparingInt(
                    r -> r.dispatch().getPriority())
            .thenComparingLong(RunningRequest::order);

    private final TreeSet<RunningRequest> waiting = new TreeSet<>(ORDER);
    private final int maxLength;
    private final long maxBytes;
    private long bytes;

    WaitingQueue(int maxLength, long maxBytes) {
        this.maxLength = maxLength;
        this.maxBytes = maxBytes;
    }

    boolean hasRoomFor(RunningRequest r) {
        return waiting.size() < maxLength && bytes + r.dispatch().getBody().size() <= maxBytes;
    }

    void add(RunningRequest r) {
        waiting.add(r);
        bytes += r.dispatch().getBody().size();
    }

    /** Returns the last request, if one with a better priority may take its place. */
    Optional<RunningRequest> worseThan(RunningRequest r) {
        if (waiting.isEmpty()) {
            return Optional.empty();
        }
        RunningRequest last = waiting.last();
        return last.dispatch().getPriority() > r.dispatch().getPriority() ? Optional.of(last) : Optional.empty();
    }

    /** Returns how many requests go before this one. */
    int position(RunningRequest r) {
        return waiting.headSet(r).size();
    }

    @Nullable
    RunningRequest first() {
        return waiting.isEmpty() ? null : waiting.first();
    }

    boolean remove(RunningRequest r) {
        boolean removed = waiting.remove(r);
        if (removed) {
            bytes -= r.dispatch().getBody().size();
        }
        return removed;
    }

    List<RunningRequest> removeIf(Predicate<RunningRequest> condition) {
        List<RunningRequest> removed = new ArrayList<>();
        Iterator<RunningRequest> it = waiting.iterator();
        while (it.hasNext()) {
            RunningRequest r = it.next();
            if (condition.test(r)) {
                it.remove();
                bytes -= r.dispatch().getBody().size();
                removed.add(r);
            }
        }
        return removed;
    }

    boolean anyOf(String incarnation) {
        return waiting.stream().anyMatch(r -> r.dispatch().getIncarnation().equals(incarnation));
    }

    int size() {
        return waiting.size();
    }
}
