package org.ragwortrun.routing;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;

/**
 * Grants permits for requests to endpoints with a limit or a ramp, on behalf of all routers.
 *
 * <p>Its knowledge is the newest statement that any router has reported, so that a coordinator that restarts or takes
 * over needs no state of another one. A router that gets no permit is told when to ask again. These times are one permit
 * apart, so that the routers do not all ask for the same one. Not thread-safe. Times are monotonic nanoseconds.
 */
public final class LimitCoordinator {
    private static final double SECOND_NANOS = 1e9;
    private static final long MIN_WAIT_NANOS = 20_000_000L;
    private static final long MAX_WAIT_NANOS = 5_000_000_000L;
    // The rate of a ramp may double in a shorter time, and a pause may end.
    private static final long MAX_RAMP_WAIT_NANOS = 500_000_000L;
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
        private final CoordinatedRamp ramp;
        private @Nullable LimitStatement statement;
        private @Nullable PermitBucket bucket;
        private int deniedSinceGrant;

        Entry(long now) {
            ramp = new CoordinatedRamp(now);
        }

        /** Records a statement and returns the newest one. */
        LimitStatement record(LimitStatement next) {
            LimitStatement before = statement;
            LimitStatement newest = before == null || next.supersedes(before) ? next : before;
            statement = newest;
            return newest;
        }

        Optional<LimitStatement> limit() {
            return Optional.ofNullable(statement).filter(LimitStatement::isLimited);
        }

        PermitBucket bucket(double perSecond, long now) {
            PermitBucket b = bucket;
            if (b == null) {
                b = new PermitBucket(perSecond, now);
                bucket = b;
            }
            b.setRate(perSecond, now);
            return b;
        }
    }

    /**
     * A request for permits.
     *
     * @param statement newest statement that the router knows about the limit
     * @param ramp what the router knows about the ramp, if it knows of one
     * @param answers answers that the router has received since its previous request
     * @param wanted number of permits, 0 only to report
     */
    public record Request(LimitStatement statement, Optional<RampReport> ramp, AnswerCounts answers, int wanted) {}

    /**
     * Answer to a request for permits.
     *
     * @param granted number of permits, at most as many as were wanted
     * @param waitNanos time after which to ask again if fewer were granted
     * @param statement newest statement about the limit
     * @param limitChanged whether the limit differs from that of the previous request
     * @param ramp ramp that is in force
     * @param rampChange how the ramp has changed since the previous request
     */
    public record Answer(
            int granted,
            long waitNanos,
            LimitStatement statement,
            boolean limitChanged,
            Optional<RampReport> ramp,
            RampChange rampChange) {}

    /**
     * Records a router's newest statement about an endpoint's limit and grants it permits.
     *
     * @param wanted number of permits, 0 only to report the statement
     * @param share share of the limit that this coordinator may use, 1 unless another one may grant permits as well
     */
    public Answer request(String endpoint, LimitStatement statement, int wanted, double share, long now) {
        return request(endpoint, new Request(statement, Optional.empty(), AnswerCounts.NONE, wanted), share, now);
    }

    /**
     * Records what a router knows about an endpoint and grants it permits.
     *
     * @param share share of the limit that this coordinator may use, 1 unless another one may grant permits as well
     */
    public Answer request(String endpoint, Request request, double share, long now) {
        Entry e = entries.computeIfAbsent(endpoint, id -> new Entry(now));
        double before = e.limit().map(LimitStatement::perSecond).orElse(Double.POSITIVE_INFINITY);
        LimitStatement newest = e.record(request.statement());
        request.ramp().ifPresent(r -> e.ramp.onReport(r, request.answers(), now));
        double limit = newest.isLimited() ? share * newest.usablePerSecond() : Double.POSITIVE_INFINITY;
        double ramp = e.ramp.perSecond(request.ramp(), share, now);
        int granted = grant(e, limit, ramp, request.wanted(), now);
        long wait = granted < request.wanted() ? waitNanos(e, limit, ramp, isSteady(request), now) : 0;
        return new Answer(granted, wait, newest, newest.perSecond() != before, e.ramp.inForce(now), e.ramp.change(now));
    }

    /** Takes permits for up to a number of requests, each by the limit and by the ramp. */
    private static int grant(Entry e, double limit, double ramp, int wanted, long now) {
        int granted = wanted;
        if (Double.isFinite(limit)) {
            granted = Math.max(0, Math.min(granted, e.bucket(limit, now).available(now)));
        }
        if (Double.isFinite(ramp)) {
            granted = Math.max(0, Math.min(granted, e.ramp.bucket(ramp, now).available(now)));
        }
        for (int i = 0; i < granted; i++) {
            if (Double.isFinite(limit)) {
                e.bucket(limit, now).take(now);
            }
            if (Double.isFinite(ramp)) {
                e.ramp.bucket(ramp, now).take(now);
            }
        }
        if (granted > 0) {
            e.deniedSinceGrant = 0;
        }
        return granted;
    }

    /** Returns the limits that are in force, by endpoint. */
    public Map<String, LimitStatement> limits() {
        return entries.entrySet().stream()
                .flatMap(e -> e.getValue().limit().map(s -> Map.entry(e.getKey(), s)).stream())
                .collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue));
    }

    /** Returns the ramps that are in force, by endpoint. */
    public Map<String, RampReport> ramps(long now) {
        return entries.entrySet().stream()
                .flatMap(e -> e.getValue().ramp.inForce(now).map(r -> Map.entry(e.getKey(), r)).stream())
                .collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue));
    }

    /** Returns the endpoints whose ramp has ended without a request since. */
    public List<String> endedRamps(long now) {
        return entries.entrySet().stream()
                .filter(e -> e.getValue().ramp.inForce(now).isEmpty()
                        && e.getValue().ramp.change(now) == RampChange.ENDED)
                .map(Map.Entry::getKey)
                .toList();
    }

    /** Returns whether the rate is that of a cold endpoint, which does not grow, for a router that follows no ramps. */
    private static boolean isSteady(Request request) {
        return request.ramp()
                .filter(r -> r.warmUpPerSecond() > 0 && r.perSecond() == 0)
                .isPresent();
    }

    private static long waitNanos(Entry e, double limit, double ramp, boolean steady, long now) {
        double perSecond = Math.min(limit, ramp);
        PermitBucket bucket = ramp < limit ? e.ramp.bucket(ramp, now) : e.bucket(limit, now);
        long max = ramp < limit && !steady ? MAX_RAMP_WAIT_NANOS : MAX_WAIT_NANOS;
        if (perSecond == 0) {
            return max;
        }
        double queued = e.deniedSinceGrant++ * SECOND_NANOS / perSecond;
        double wait = bucket.nanosUntil(1, now) + queued;
        return (long) Math.min(max, Math.max(MIN_WAIT_NANOS, wait));
    }
}
