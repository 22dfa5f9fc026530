package org.ragwortrun.measure.limits;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.ragwortrun.measure.budgets.EventQueue;
import org.ragwortrun.routing.EndpointLimit;
import org.ragwortrun.routing.LimitCoordinator;
import org.ragwortrun.routing.LimitStatement;
import org.ragwortrun.routing.PermitBucket;
import org.ragwortrun.routing.PermitSchedule;

/** Plays one case in virtual time, with a number of routers that decide by one scheme. */
final class LimitsRun {
    static final int ENDPOINTS = 13;

    private static final double REQUESTS_PER_SECOND = 55;
    private static final long LENGTH_MICROS = 36_000_000;
    private static final long LIMIT_MICROS = 4_000_000;
    private static final long LATENCY_MICROS = 900;
    private static final long ANSWER_MICROS = 200_000;
    // Requests that are sent at most this long after a router has been told of a limit do not count.
    private static final long GRACE_MICROS = 500_000;
    private static final double REPLACEMENT_SHARE = 0.5;
    private static final int MAX_DENIED_PERMITS = 4;

    private final EventQueue events = new EventQueue();
    private final UniformRandomProvider random;
    private final LimitCase limitCase;
    private final Scheme scheme;
    private final List<Router> routers;
    private final List<LimitedArrivals> arrivals;
    private final LimitCoordinator replacement = new LimitCoordinator();
    private LimitCoordinator coordinator = new LimitCoordinator();
    private long asked;
    private long refused;
    private long permitRequests;
    private double allowed;

    LimitsRun(LimitCase limitCase, Scheme scheme, int routers, long seed) {
        this.limitCase = limitCase;
        this.scheme = scheme;
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        this.routers =
                IntStream.range(0, routers).mapToObj(i -> new Router(routers)).toList();
        arrivals = IntStream.range(0, limitCase.limitedEndpoints())
                .mapToObj(i -> new LimitedArrivals())
                .toList();
    }

    /** Plays the run to its end. */
    LimitsRun play() {
        arrive();
        countAllowed();
        events.runUntil(LENGTH_MICROS);
        return this;
    }

    long asked() {
        return asked;
    }

    double refusedShare() {
        return (double) refused / asked;
    }

    /** Returns the largest share of the tolerated requests that an endpoint got in a window. */
    double mostOfTolerated() {
        return arrivals.stream()
                .mapToDouble(LimitedArrivals::mostOfTolerated)
                .max()
                .orElse(0);
    }

    /** Returns the requests that reached endpoints with a limit, as a share of what the limits allow. */
    double usedShare() {
        return arrivals.stream().mapToLong(LimitedArrivals::count).sum() / allowed;
    }

    double permitRequestsPerSecond() {
        return permitRequests * 1e6 / (LENGTH_MICROS - LIMIT_MICROS);
    }

    private void arrive() {
        if (events.micros() < LENGTH_MICROS) {
            asked++;
            routers.get(random.nextInt(routers.size())).place(new ArrayList<>());
            events.after((long) (-Math.log(1 - random.nextDouble()) * 1e6 / REQUESTS_PER_SECOND), this::arrive);
        }
    }

    private void countAllowed() {
        long step = 10_000;
        for (long t = LIMIT_MICROS; t < LENGTH_MICROS; t += step) {
            double perSecond = perSecond(0, t);
            allowed += Double.isFinite(perSecond) ? perSecond * step / 1e6 * limitCase.limitedEndpoints() : 0;
        }
    }

    private double perSecond(int endpoint, long atMicros) {
        return endpoint < limitCase.limitedEndpoints() && atMicros >= LIMIT_MICROS
                ? limitCase.perSecond(atMicros - LIMIT_MICROS)
                : Double.POSITIVE_INFINITY;
    }

    /** Answer of a scheme to the question whether a request may be sent. */
    private record Decision(boolean granted, long waitNanos) {}

    private final class Router {
        private final EndpointLimit[] limits = new EndpointLimit[ENDPOINTS];
        private final PermitBucket[] buckets = new PermitBucket[ENDPOINTS];
        private final PermitSchedule[] schedules = new PermitSchedule[ENDPOINTS];
        private final int[] inFlight = new int[ENDPOINTS];
        private final long[] toldMicros = new long[ENDPOINTS];
        private final int routerCount;

        Router(int routerCount) {
            this.routerCount = routerCount;
            for (int i = 0; i < ENDPOINTS; i++) {
                limits[i] = new EndpointLimit();
                buckets[i] = new PermitBucket(0, 0);
                schedules[i] = new PermitSchedule(1.0 / routerCount, random.nextDouble(), 0);
            }
        }

        void place(List<Integer> denied) {
            int best = -1;
            int offset = random.nextInt(ENDPOINTS);
            for (int k = 0; k < ENDPOINTS; k++) {
                int e = (k + offset) % ENDPOINTS;
                boolean blocked = limits[e].earliestNanos(events.nanos()) > events.nanos()
                        || denied.size() >= MAX_DENIED_PERMITS && limits[e].isLimited();
                if (!blocked && !denied.contains(e) && (best < 0 || inFlight[e] < inFlight[best])) {
                    best = e;
                }
            }
            if (best < 0) {
                refused++;
            } else if (!limits[best].isLimited() || scheme == Scheme.IGNORED) {
                send(best);
            } else {
                askFor(best, denied);
            }
        }

        private void askFor(int e, List<Integer> denied) {
            boolean remote = scheme == Scheme.COORDINATED;
            events.after(remote ? LATENCY_MICROS : 0, () -> {
                Decision d = decide(e);
                events.after(remote ? LATENCY_MICROS : 0, () -> {
                    if (d.granted) {
                        send(e);
                    } else {
                        limits[e].block(events.nanos() + d.waitNanos);
                        denied.add(e);
                        place(denied);
                    }
                });
            });
        }

        private Decision decide(int e) {
            long now = events.nanos();
            LimitStatement statement = limits[e].newest().orElseThrow();
            double perSecond = statement.usablePerSecond();
            if (!statement.isLimited()) {
                return new Decision(true, 0);
            }
            if (scheme == Scheme.EACH_ALONE) {
                buckets[e].setRate(perSecond, now);
                return new Decision(buckets[e].tryTake(now), buckets[e].nanosUntil(1, now));
            }
            if (scheme == Scheme.EQUAL_SHARES) {
                double share = perSecond / routerCount;
                return new Decision(schedules[e].tryTake(share, now), schedules[e].nanosUntilNext(share, now));
            }
            permitRequests++;
            LimitCoordinator.Answer answer = askCoordinator("e" + e, statement, now);
            limits[e].record(answer.statement());
            if (answer.limitChanged()) {
                announce(e, answer.statement());
            }
            return new Decision(answer.granted() > 0, answer.waitNanos());
        }

        private LimitCoordinator.Answer askCoordinator(String endpoint, LimitStatement statement, long now) {
            if (limitCase.isCoordinatorLost(events.micros() - LIMIT_MICROS)) {
                // Knows nothing when it is back.
                coordinator = new LimitCoordinator();
                return replacement.request(endpoint, statement, 1, REPLACEMENT_SHARE, now);
            }
            return coordinator.request(endpoint, statement, 1, 1, now);
        }

        private void report(int e, LimitStatement statement) {
            if (coordinator.request("e" + e, statement, 0, 1, events.nanos()).limitChanged()) {
                announce(e, statement);
            }
        }

        private void announce(int e, LimitStatement statement) {
            events.after(LATENCY_MICROS, () -> routers.forEach(r -> r.limits[e].record(statement)));
        }

        private void send(int e) {
            long sentNanos = events.nanos();
            inFlight[e]++;
            events.after(LATENCY_MICROS, () -> {
                if (e < arrivals.size() && events.micros() >= LIMIT_MICROS) {
                    boolean told = toldMicros[e] > 0 && events.micros() - toldMicros[e] >= GRACE_MICROS;
                    arrivals.get(e).add(events.micros() - LIMIT_MICROS, perSecond(e, events.micros()), told);
                }
                events.after(ANSWER_MICROS, () -> answer(e, sentNanos, perSecond(e, events.micros())));
            });
        }

        private void answer(int e, long sentNanos, double perSecond) {
            events.after(LATENCY_MICROS, () -> {
                inFlight[e]--;
                LimitStatement statement = new LimitStatement(perSecond, sentNanos, events.nanos());
                if (limits[e].record(statement) && scheme == Scheme.COORDINATED) {
                    events.after(LATENCY_MICROS, () -> report(e, statement));
                }
                if (Double.isFinite(perSecond) && toldMicros[e] == 0) {
                    toldMicros[e] = events.micros();
                }
            });
        }
    }
}
