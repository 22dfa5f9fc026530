package org.ragwortrun.agent.internal;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;

/** Accepted requests that wait to start, ordered by priority and then by arrival; limited by number and bytes. */
final class WaitingQueue {
    private static final Comparator<AcceptedRequest> ORDER = Comparator.<AcceptedRequest>comparingInt(
                    r -> r.dispatch().getPriority())
            .thenComparingLong(AcceptedRequest::order);

    private final TreeSet<AcceptedRequest> waiting = new TreeSet<>(ORDER);
    private final int maxLength;
    private final long maxBytes;
    private long bytes;

    WaitingQueue(int maxLength, long maxBytes) {
        this.maxLength = maxLength;
        this.maxBytes = maxBytes;
    }

    boolean hasRoomFor(AcceptedRequest r) {
        return waiting.size() < maxLength && bytes + r.dispatch().getBody().size() <= maxBytes;
    }

    void add(AcceptedRequest r) {
        waiting.add(r);
        bytes += r.dispatch().getBody().size();
    }

    /** Returns the last queued request if the given one is more urgent, that is, has a smaller priority number. */
    Optional<AcceptedRequest> findDisplaceable(AcceptedRequest r) {
        if (waiting.isEmpty()) {
            return Optional.empty();
        }
        AcceptedRequest last = waiting.last();
        return last.dispatch().getPriority() > r.dispatch().getPriority() ? Optional.of(last) : Optional.empty();
    }

    /** Returns the number of requests that are ahead of this one. */
    int position(AcceptedRequest r) {
        return waiting.headSet(r).size();
    }

    @Nullable
    AcceptedRequest first() {
        return waiting.isEmpty() ? null : waiting.first();
    }

    boolean remove(AcceptedRequest r) {
        boolean removed = waiting.remove(r);
        if (removed) {
            bytes -= r.dispatch().getBody().size();
        }
        return removed;
    }

    List<AcceptedRequest> removeIf(Predicate<AcceptedRequest> condition) {
        List<AcceptedRequest> removed = new ArrayList<>();
        Iterator<AcceptedRequest> it = waiting.iterator();
        while (it.hasNext()) {
            AcceptedRequest r = it.next();
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
