package org.ragwortrun.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;

/**
 * Requests of one origin that wait until an endpoint has room.
 *
 * <p>Lower priority numbers go first. Within a priority, client accounts share the capacity by start-time fair queueing:
 * the account that has received the least, divided by its weight, goes next, and an account that begins to wait starts
 * at the level of the account served last. Accounts at the same level are ordered by the deadline of their first request.
 * A request of a caller that returns at the time it was given counts as one request below its account's level, so it
 * goes before new requests of accounts that are not behind it. Within an account, returning requests go first and the
 * earliest deadline first.
 *
 * <p>All operations take a time logarithmic in the number of requests, except {@link #first}, which is linear in the
 * number that it returns, and the removal of several requests. Times are monotonic nanoseconds. Not thread-safe.
 *
 * @param <T> type of a waiting request
 */
public final class AdmissionQueue<T> {
    // A request that does not fit should hide few others of its account from the scheduler.
    private static final int MAX_FIRST_OF_ACCOUNT = 2;

    private final int maxRequests;
    private final long maxBytes;
    private final NavigableMap<Integer, Level<T>> levels = new TreeMap<>();
    private final TreeSet<Entry<T>> byLatestStart = new TreeSet<>(
            Comparator.<Entry<T>>comparingLong(e -> e.latestStartNanos).thenComparingLong(e -> e.sequence));
    private long bytes;
    private long sequence;

    /**
     * Creates an empty queue.
     *
     * @param maxRequests maximum number of waiting requests
     * @param maxBytes maximum size of all waiting requests together
     */
    public AdmissionQueue(int maxRequests, long maxBytes) {
        this.maxRequests = maxRequests;
        this.maxBytes = maxBytes;
    }

    /**
     * What determines the place of a request.
     *
     * @param account client account, empty for requests without one
     * @param priority lower numbers go first
     * @param returning whether the caller returns at the time it was given, or the request has already been in its turn
     * @param deadlineNanos time until which the caller waits for the answer
     * @param latestStartNanos time from which the request may no longer be sent
     * @param bytes memory that the request occupies
     * @param cost share of the account that the request consumes: 1 divided by the weight of the account
     */
    public record Place(
            String account,
            int priority,
            boolean returning,
            long deadlineNanos,
            long latestStartNanos,
            long bytes,
            double cost) {}

    /**
     * A waiting request.
     *
     * @param <T> type of the request
     */
    public static final class Entry<T> {
        private final T item;
        private final Place place;
        private final Flow<T> flow;
        private final long sequence;
        private final long enteredNanos;
        private final long latestStartNanos;
        private boolean queued = true;

        Entry(T item, Place place, Flow<T> flow, long sequence, long enteredNanos) {
            this.item = item;
            this.place = place;
            this.flow = flow;
            this.sequence = sequence;
            this.enteredNanos = enteredNanos;
            latestStartNanos = place.latestStartNanos();
        }

        public T item() {
            return item;
        }

        public Place place() {
            return place;
        }

        /** Returns the time at which the request entered the queue. */
        public long enteredNanos() {
            return enteredNanos;
        }

        /** Returns whether the request still waits. */
        public boolean isQueued() {
            return queued;
        }
    }

    /** Waiting requests of one account and priority. */
    private static final class Flow<T> {
        private final String account;
        private final TreeSet<Entry<T>> entries =
                new TreeSet<>(Comparator.<Entry<T>, Boolean>comparing(e -> !e.place.returning())
                        .thenComparingLong(e -> e.place.deadlineNanos())
                        .thenComparingLong(e -> e.sequence));
        private double served;
        private double waitingCost;

        Flow(String account) {
            this.account = account;
        }

        double start() {
            Entry<T> head = entries.first();
            return head.place.returning() ? served - head.place.cost() : served;
        }

        /** Returns how many requests of the account go before a new one. */
        int earlier(boolean returning, long deadlineNanos) {
            int earlier = 0;
            for (Entry<T> e : entries) {
                boolean later =
                        returning == e.place.returning() ? e.place.deadlineNanos() - deadlineNanos > 0 : returning;
                if (later) {
                    break;
                }
                earlier++;
            }
            return earlier;
        }

        double finish() {
            return served + waitingCost;
        }
    }

    /** Waiting requests of one priority. */
    private static final class Level<T> {
        private final Map<String, Flow<T>> flows = new HashMap<>();
        private final TreeSet<Flow<T>> byStart = new TreeSet<>(Comparator.<Flow<T>>comparingDouble(Flow::start)
                .thenComparing(f -> !f.entries.first().place.returning())
                .thenComparingLong(f -> f.entries.first().place.deadlineNanos())
                .thenComparing(f -> f.account));
        private final TreeSet<Flow<T>> byFinish = new TreeSet<>(Comparator.<Flow<T>>comparingDouble(Flow::finish)
                .thenComparingLong(f -> f.entries.last().sequence)
                .thenComparing(f -> f.account));
        private final LinkedHashSet<Entry<T>> byAge = new LinkedHashSet<>();
        private double lastServed;

        /** Removes a flow from the orders before it changes. */
        void detach(Flow<T> flow) {
            if (!flow.entries.isEmpty()) {
                byStart.remove(flow);
                byFinish.remove(flow);
            }
        }

        int ahead(String account, boolean returning, long deadlineNanos) {
            Flow<T> flow = flows.get(account);
            int earlier = flow == null ? 0 : flow.earlier(returning, deadlineNanos);
            double start = Math.max(flow == null ? 0 : flow.served, lastServed) - (returning ? 1 : 0);
            int before = 0;
            for (Flow<T> f : byStart) {
                boolean later = f.start() > start
                        || f.start() == start && f.entries.first().place.deadlineNanos() - deadlineNanos > 0;
                if (f.account.equals(account) || later) {
                    break;
                }
                before++;
            }
            return (int) Math.min(byAge.size(), before + (long) earlier * byStart.size());
        }

        void attach(Flow<T> flow) {
            if (!flow.entries.isEmpty()) {
                byStart.add(flow);
                byFinish.add(flow);
            } else if (flow.served <= lastServed) {
                // An account that returns starts at the level of the account served last anyway.
                flows.remove(flow.account);
            }
        }
    }

    /** Adds a request. {@link #displace} must follow, because the queue may exceed its bounds. */
    public Entry<T> add(T item, Place place, long now) {
        Level<T> level = levels.computeIfAbsent(place.priority(), p -> new Level<>());
        Flow<T> flow = level.flows.computeIfAbsent(place.account(), Flow::new);
        level.detach(flow);
        if (flow.entries.isEmpty()) {
            flow.served = Math.max(flow.served, level.lastServed);
        }
        Entry<T> entry = new Entry<>(item, place, flow, sequence++, now);
        flow.entries.add(entry);
        flow.waitingCost += place.cost();
        level.attach(flow);
        level.byAge.add(entry);
        byLatestStart.add(entry);
        bytes += place.bytes();
        return entry;
    }

    /**
     * Removes requests until the queue is within its bounds: those of the lowest priority, of the account that would be
     * served last, the last one first.
     */
    public List<Entry<T>> displace() {
        List<Entry<T>> displaced = new ArrayList<>();
        while (byLatestStart.size() > maxRequests || bytes > maxBytes) {
            Entry<T> victim =
                    levels.lastEntry().getValue().byFinish.last().entries.last();
            remove(victim);
            displaced.add(victim);
        }
        return displaced;
    }

    /** Removes the requests that may no longer be sent. */
    public List<Entry<T>> expire(long now) {
        List<Entry<T>> expired = new ArrayList<>();
        while (!byLatestStart.isEmpty() && byLatestStart.first().latestStartNanos - now <= 0) {
            Entry<T> e = byLatestStart.first();
            remove(e);
            expired.add(e);
        }
        return expired;
    }

    /** Returns the first requests in the order in which they should be sent, at most two of each account. */
    public List<Entry<T>> first(int max) {
        List<Entry<T>> first = new ArrayList<>(max);
        for (Level<T> level : levels.values()) {
            for (Flow<T> flow : level.byStart) {
                Iterator<Entry<T>> entries = flow.entries.iterator();
                for (int i = 0; i < MAX_FIRST_OF_ACCOUNT && entries.hasNext(); i++) {
                    if (first.size() >= max) {
                        return first;
                    }
                    first.add(entries.next());
                }
            }
        }
        return first;
    }

    /** Removes a request that is sent, and charges its account. */
    public void serve(Entry<T> entry) {
        if (!entry.queued) {
            return;
        }
        Level<T> level = level(entry);
        level.lastServed = Math.max(level.lastServed, entry.flow.served);
        take(entry, entry.place.cost());
    }

    /** Removes a request that is not sent. */
    public void remove(Entry<T> entry) {
        if (entry.queued) {
            take(entry, 0);
        }
    }

    private void take(Entry<T> entry, double charged) {
        entry.queued = false;
        Level<T> level = level(entry);
        Flow<T> flow = entry.flow;
        level.detach(flow);
        flow.entries.remove(entry);
        flow.waitingCost = flow.entries.isEmpty() ? 0 : flow.waitingCost - entry.place.cost();
        flow.served += charged;
        level.attach(flow);
        level.byAge.remove(entry);
        byLatestStart.remove(entry);
        bytes -= entry.place.bytes();
        if (level.byAge.isEmpty()) {
            levels.remove(entry.place.priority());
        }
    }

    private Level<T> level(Entry<T> entry) {
        Level<T> level = levels.get(entry.place.priority());
        if (level == null) {
            throw new IllegalStateException("the request belongs to another queue");
        }
        return level;
    }

    /** Returns all waiting requests, the most urgent priority first. */
    public List<Entry<T>> all() {
        List<Entry<T>> all = new ArrayList<>(byLatestStart.size());
        levels.values().forEach(l -> all.addAll(l.byAge));
        return all;
    }

    /**
     * Returns about how many waiting requests go before a new one: those of more urgent priorities, the requests of
     * accounts that are served before it in the next round, and a round of all accounts for each request of its own
     * account that goes before it. Takes a time linear in the number of accounts and of the account's requests.
     */
    public int ahead(String account, int priority, boolean returning, long deadlineNanos) {
        int ahead = 0;
        for (Level<T> l : levels.headMap(priority, false).values()) {
            ahead += l.byAge.size();
        }
        Level<T> own = levels.get(priority);
        return own == null ? ahead : ahead + own.ahead(account, returning, deadlineNanos);
    }

    public boolean isEmpty() {
        return byLatestStart.isEmpty();
    }

    public int size() {
        return byLatestStart.size();
    }

    /** Returns the number of waiting requests of a priority. */
    public int size(int priority) {
        Level<T> l = levels.get(priority);
        return l == null ? 0 : l.byAge.size();
    }

    /** Returns when the oldest waiting request of a priority entered the queue. */
    public OptionalLong oldestNanos(int priority) {
        @Nullable Level<T> l = levels.get(priority);
        return l == null
                ? OptionalLong.empty()
                : OptionalLong.of(l.byAge.iterator().next().enteredNanos);
    }

    /** Returns the size of all waiting requests together. */
    public long bytes() {
        return bytes;
    }

    /** Returns the time at which the next request has to be removed unless it is sent before. */
    public OptionalLong nextExpiryNanos() {
        return byLatestStart.isEmpty() ? OptionalLong.empty() : OptionalLong.of(byLatestStart.first().latestStartNanos);
    }
}
