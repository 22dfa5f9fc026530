package org.ragwortrun.routing;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * Grants permits for requests to endpoints with a limit, on behalf of all routers.
 *
 * <p>Its knowledge is the newest statement that any router has reported, so that a coordinator that restarts or takes
 * over needs no state of another one. A router that gets no permit is told when to ask again. These times are one permit
 * apart, so that the routers do not all ask for the same one. Not thread-safe. Times are monotonic nanoseconds.
 */
public final class LimitCoordinator {
    private static final double SECOND_NANOS = 1e9;
    private static final long MIN_WAIT_NANOS = 20_000_000L;
    private static final long MAX_WAIT_NANOS = 5_000_000_000L;
    // Several times the number of endpoints of the largest fleet.
    private static final int MAX_ENDPOINTS = 4_096;

    private final Map<String, Entry> entries = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Entry> eldest) {
            return size() > MAX_ENDPOINTS;
        }
    };

    private static final class Entry {
        private final PermitBucket bucket;
        private LimitStatement statement;
        private int deniedSinceGrant;

        Entry(LimitStatement statement, PermitBucket bucket) {
            this.statement = statement;
            this.bucket = bucket;
        }
    }

    /**
     * Answer to a request for permits.
     *
     * @param granted number of permits, at most as many as were wanted
     * @param waitNanos time after which to ask again if fewer were granted
     * @param statement newest statement about the limit
     * @param limitChanged whether the limit differs from that of the previous request
     */
    public record Answer(int granted, long waitNanos, LimitStatement statement, boolean limitChanged) {}

    /**
     * Records a router's newest statement about an endpoint's limit and grants it permits.
     *
     * @param wanted number of permits, 0 only to report the statement
     * @param share share of the limit that this coordinator may use, 1 unless another one may grant permits as well
     */
    public Answer request(String endpoint, LimitStatement statement, int wanted, double share, long now) {
        Entry known = entries.get(endpoint);
        boolean changed = known == null ? statement.isLimited() : record(known, statement);
        Entry e = known == null ? create(endpoint, statement, share, now) : known;
        if (!e.statement.isLimited()) {
            return new Answer(wanted, 0, e.statement, changed);
        }
        double perSecond = share * e.statement.usablePerSecond();
        e.bucket.setRate(perSecond, now);
        int granted = 0;
        while (granted < wanted && e.bucket.tryTake(now)) {
            granted++;
        }
        if (granted > 0) {
            e.deniedSinceGrant = 0;
        }
        long wait = granted < wanted ? waitNanos(e, perSecond, now) : 0;
        return new Answer(granted, wait, e.statement, changed);
    }

    /** Returns the limits that are in force, by endpoint. */
    public Map<String, LimitStatement> limits() {
        return entries.entrySet().stream()
                .filter(e -> e.getValue().statement.isLimited())
                .collect(Collectors.toMap(Map.Entry::getKey, e -> e.getValue().statement));
    }

    private Entry create(String endpoint, LimitStatement statement, double share, long now) {
        Entry e = new Entry(statement, new PermitBucket(share * statement.usablePerSecond(), now));
        entries.put(endpoint, e);
        return e;
    }

    private static boolean record(Entry e, LimitStatement next) {
        if (!next.supersedes(e.statement)) {
            return false;
        }
        boolean changed = next.perSecond() != e.statement.perSecond();
        e.statement = next;
        return changed;
    }

    private static long waitNanos(Entry e, double perSecond, long now) {
        double queued = e.deniedSinceGrant++ * SECOND_NANOS / perSecond;
        double wait = e.bucket.nanosUntil(1, now) + queued;
        return (long) Math.min(MAX_WAIT_NANOS, Math.max(MIN_WAIT_NANOS, wait));
    }
}
