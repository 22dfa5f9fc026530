package org.ragwortrun.router.internal.forward;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.IntPredicate;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.ragwortrun.routing.AnswerCounts;
import org.ragwortrun.routing.EndpointLimit;
import org.ragwortrun.routing.FallbackPermits;
import org.ragwortrun.routing.LimitCoordinator;
import org.ragwortrun.routing.LimitStatement;
import org.ragwortrun.routing.RampChange;
import org.ragwortrun.routing.RampReport;

/** Several routers, one coordinator and the endpoints of one service, on one clock and without a network. */
final class RampSimulation {
    static final long MS = 1_000_000;
    static final long SECOND = 1_000 * MS;
    private static final long LATENCY = MS / 2;
    private static final long LIST_PERIOD = SECOND;
    private static final long QUESTION_TIMEOUT = 150 * MS;
    private static final long BACKOFF = SECOND;
    private static final int MAX_DENIED = 4;

    final List<Endpoint> endpoints = new ArrayList<>();
    final List<Router> routers = new ArrayList<>();
    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(Comparator.comparingLong(Task::at).thenComparingLong(Task::order));
    private final UniformRandomProvider random;
    private final Settings settings;
    private LimitCoordinator coordinator = new LimitCoordinator();
    private long now = 1;
    private long order;
    long served;
    long refused;

    /**
     * Settings of a simulation.
     *
     * @param followsRamps whether routers follow the ramps of endpoints that are not cold
     * @param warmUpPerSecond requests per second that a cold endpoint tolerates, 0 for no limit
     * @param warmUpNanos time for which an endpoint is cold after its start
     * @param coordinated whether any coordinator is known
     * @param reaches routers that reach the coordinator
     */
    record Settings(
            boolean followsRamps,
            double warmUpPerSecond,
            long warmUpNanos,
            boolean coordinated,
            IntPredicate reaches) {}

    private record Task(long at, long order, Runnable run) {}

    RampSimulation(Settings settings, int routerCount, int endpointCount, long seed) {
        this.settings = settings;
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        for (int i = 0; i < endpointCount; i++) {
            endpoints.add(new Endpoint(i));
        }
        for (int i = 0; i < routerCount; i++) {
            routers.add(new Router(i));
        }
        at(LIST_PERIOD / 2, this::sendList);
    }

    long now() {
        return now;
    }

    void at(long time, Runnable run) {
        tasks.add(new Task(Math.max(now, time), order++, run));
    }

    /** Lets the coordinator lose its state. */
    void restartCoordinator() {
        coordinator = new LimitCoordinator();
    }

    /** Sends requests to random routers at a mean rate until a time. */
    void load(long from, long until, double perSecond) {
        long next = from + (long) (-Math.log(1 - random.nextDouble()) * SECOND / perSecond);
        if (next < until) {
            at(next, () -> {
                routers.get(random.nextInt(routers.size())).onRequest();
                load(now, until, perSecond);
            });
        }
    }

    void run(long until) {
        while (!tasks.isEmpty() && tasks.peek().at() <= until) {
            Task t = tasks.poll();
            now = Math.max(now, t.at());
            t.run().run();
        }
        now = until;
    }

    private void sendList() {
        long read = now;
        List<Long> coldMs =
                endpoints.stream().map(e -> Math.max(0, e.coldUntil - now) / MS).toList();
        List<Integer> incarnations = endpoints.stream().map(e -> e.incarnation).toList();
        for (Router r : routers) {
            at(now + r.listDelay, () -> r.onList(coldMs, incarnations, read));
        }
        at(now + LIST_PERIOD, this::sendList);
    }

    /** One endpoint. Requests that it cannot run at once wait for a slot. */
    final class Endpoint {
        private final int index;
        final List<Long> arrivals = new ArrayList<>();
        final List<Long> badAnswers = new ArrayList<>();
        long interrupted;
        private final List<Long> slotsFreeAt = new ArrayList<>();
        long serviceNanos = 150 * MS;
        int slots = 24;
        double failsAbovePerSecond = Double.POSITIVE_INFINITY;
        boolean failsAll;
        boolean changesId = true;
        boolean listsCold = true;
        private int incarnation;
        private boolean down;
        private long coldUntil;

        Endpoint(int index) {
            this.index = index;
        }

        /** Stops the endpoint at a time and starts it again later. */
        void restart(long stopAt, long startAt) {
            at(stopAt, () -> {
                down = true;
                slotsFreeAt.clear();
            });
            at(startAt, () -> {
                down = false;
                incarnation += changesId ? 1 : 0;
                coldUntil = listsCold ? now + settings.warmUpNanos() : 0;
            });
        }

        /** Returns the most requests in any second of an interval. */
        int mostInSecond(long from, long until) {
            List<Long> in =
                    arrivals.stream().filter(a -> a >= from && a < until).toList();
            int most = 0;
            int begin = 0;
            for (int i = 0; i < in.size(); i++) {
                while (in.get(i) - in.get(begin) >= SECOND) {
                    begin++;
                }
                most = Math.max(most, i - begin + 1);
            }
            return most;
        }

        long arrivals(long from, long until) {
            return arrivals.stream().filter(a -> a >= from && a < until).count();
        }

        private void accept(Router router, Request request) {
            long sent = now;
            arrivals.add(now);
            boolean overloaded = arrivals(now - SECOND + 1, now + 1) > failsAbovePerSecond;
            slotsFreeAt.removeIf(t -> t <= now);
            long begin = now;
            if (slotsFreeAt.size() >= slots) {
                slotsFreeAt.sort(Comparator.naturalOrder());
                begin = slotsFreeAt.get(slotsFreeAt.size() - slots);
            }
            int served0 = incarnation;
            long end = begin + serviceNanos;
            slotsFreeAt.add(end);
            boolean good = !failsAll && !overloaded;
            at(end, () -> {
                if (down || served0 != incarnation) {
                    router.onBroken(index, request);
                } else {
                    router.onAnswer(index, good, sent);
                }
            });
        }
    }

    /** A request and what has been tried for it. */
    private static final class Request {
        private final Set<Integer> tried = new HashSet<>();
        private int denied;
    }

    /** One router, which selects endpoints and gets permits as the forwarding router does. */
    final class Router {
        private final int index;
        private final FallbackPermits fallback = new FallbackPermits(random::nextDouble);
        private final List<EndpointLimit> limits = new ArrayList<>();
        private final List<EndpointHealth> health = new ArrayList<>();
        private final List<EndpointOutcomes> outcomes = new ArrayList<>();
        private final List<List<Request>> waiting = new ArrayList<>();
        private final boolean[] asking = new boolean[endpoints.size()];
        private final int[] inFlight = new int[endpoints.size()];
        private final int[] incarnations = new int[endpoints.size()];
        private long backoffUntil;
        long listDelay = 5 * MS;

        Router(int index) {
            this.index = index;
            for (int i = 0; i < endpoints.size(); i++) {
                limits.add(newLimit());
                health.add(new EndpointHealth());
                waiting.add(new ArrayList<>());
                outcomes.add(newOutcomes(i));
            }
        }

        private EndpointOutcomes newOutcomes(int e) {
            return new EndpointOutcomes(health.get(e), limits.get(e).ramp(), () -> ask(e, new ArrayList<>(), true));
        }

        private EndpointLimit newLimit() {
            EndpointLimit limit = new EndpointLimit(settings.followsRamps());
            limit.ramp().warmUp().setBounds(settings.warmUpPerSecond(), settings.warmUpNanos());
            return limit;
        }

        void onList(List<Long> coldMs, List<Integer> listed, long read) {
            for (int i = 0; i < listed.size(); i++) {
                if (incarnations[i] != listed.get(i)) {
                    incarnations[i] = listed.get(i);
                    limits.set(i, newLimit());
                    health.set(i, new EndpointHealth());
                    outcomes.set(i, newOutcomes(i));
                    outcomes.get(i).onStarted(now);
                }
                limits.get(i).ramp().warmUp().onListed(coldMs.get(i), read, now);
            }
        }

        void onRequest() {
            route(new Request());
        }

        private boolean isUsable(int e) {
            return limits.get(e).ramp().isFollowing() || health.get(e).isUsable(now);
        }

        private void route(Request request) {
            List<Integer> healthy = new ArrayList<>();
            List<Integer> others = new ArrayList<>();
            List<Integer> lastResort = new ArrayList<>();
            for (int e = 0; e < endpoints.size(); e++) {
                EndpointLimit limit = limits.get(e);
                boolean needsPermit = limit.needsPermit(now);
                boolean denied = needsPermit && (request.denied >= MAX_DENIED || limit.earliestNanos(now) - now > 0);
                if (!request.tried.contains(e)) {
                    if (!denied) {
                        (isUsable(e) ? healthy : others).add(e);
                    } else if (limit.allowsLastResort(now)) {
                        lastResort.add(e);
                    }
                }
            }
            boolean last = healthy.isEmpty() && others.isEmpty();
            List<Integer> candidates = last ? lastResort : healthy.isEmpty() ? others : healthy;
            if (candidates.isEmpty()) {
                refused++;
                return;
            }
            int offset = random.nextInt(endpoints.size());
            int chosen = candidates.stream()
                    .min(Comparator.<Integer>comparingInt(e -> inFlight[e])
                            .thenComparingInt(e -> (e + offset) % endpoints.size()))
                    .orElseThrow();
            if (last || !limits.get(chosen).needsPermit(now)) {
                send(chosen, request);
            } else {
                waiting.get(chosen).add(request);
                if (!asking[chosen]) {
                    asking[chosen] = true;
                    List<Request> batch = waiting.set(chosen, new ArrayList<>());
                    ask(chosen, batch, false);
                }
            }
        }

        private void ask(int e, List<Request> batch, boolean reportOnly) {
            long asked = now;
            boolean reaches = settings.reaches().test(index) && settings.coordinated();
            if (!reaches) {
                boolean backedOff = !settings.coordinated() || backoffUntil - now > 0;
                backoffUntil = backedOff ? backoffUntil : now + BACKOFF;
                at(backedOff ? now : now + QUESTION_TIMEOUT, () -> useShare(e, batch, reportOnly));
                return;
            }
            Optional<RampReport> ramp = limits.get(e).ramp().report(now);
            AnswerCounts counts = ramp.isPresent() ? limits.get(e).ramp().takeCounts() : AnswerCounts.NONE;
            LimitStatement statement = LimitStatement.unlimited(now, now);
            int incarnation = incarnations[e];
            String id = "e" + e + '/' + incarnation;
            at(now + LATENCY, () -> {
                LimitCoordinator.Answer answer = coordinator.request(
                        id, new LimitCoordinator.Request(statement, ramp, counts, batch.size()), 1, now);
                boolean pushed = answer.rampChange() == RampChange.BEGUN || answer.rampChange() == RampChange.EXTENDED;
                if (pushed) {
                    routers.stream()
                            .filter(r -> settings.reaches().test(r.index))
                            .forEach(r -> at(now + LATENCY, () -> r.onPushed(e, incarnation, answer.ramp())));
                }
                at(now + LATENCY, () -> {
                    limits.get(e).ramp().onReported(answer.ramp(), asked, now);
                    decide(e, batch, answer.granted(), answer.waitNanos(), reportOnly);
                });
            });
        }

        private void onPushed(int e, int incarnation, Optional<RampReport> ramp) {
            if (incarnations[e] == incarnation) {
                limits.get(e).ramp().onReported(ramp, now, now);
            }
        }

        private void useShare(int e, List<Request> batch, boolean reportOnly) {
            if (!reportOnly) {
                FallbackPermits.Granted g = fallback.take(
                        "e" + e + '/' + incarnations[e],
                        limits.get(e),
                        batch.size(),
                        routers.size(),
                        settings.coordinated(),
                        now);
                decide(e, batch, g.granted(), g.waitNanos(), false);
            }
        }

        private void decide(int e, List<Request> batch, int granted, long wait, boolean reportOnly) {
            if (reportOnly) {
                return;
            }
            if (granted < batch.size()) {
                limits.get(e).block(now + wait);
            }
            asking[e] = false;
            for (int i = 0; i < batch.size(); i++) {
                if (i < granted) {
                    send(e, batch.get(i));
                } else {
                    batch.get(i).denied++;
                    route(batch.get(i));
                }
            }
            if (!asking[e] && !waiting.get(e).isEmpty()) {
                asking[e] = true;
                ask(e, waiting.set(e, new ArrayList<>()), false);
            }
        }

        private void send(int e, Request request) {
            Endpoint endpoint = endpoints.get(e);
            request.tried.add(e);
            boolean probe = health.get(e).onSent(now);
            if (endpoint.down) {
                outcomes.get(e).onUnreachable(EndpointConnectionPool.REFUSED, now);
                if (probe) {
                    health.get(e).onProbeEnded();
                }
                route(request);
            } else if (endpoint.incarnation != incarnations[e]) {
                // The endpoint answers with 421, because another id is expected.
                route(request);
            } else {
                inFlight[e]++;
                endpoint.accept(this, request);
            }
        }

        private void onBroken(int e, Request request) {
            inFlight[e]--;
            endpoints.get(e).interrupted++;
            outcomes.get(e).onBroken("connection-reset", now);
            if (endpoints.get(e).down) {
                outcomes.get(e).onUnreachable(EndpointConnectionPool.REFUSED, now);
            }
            route(request);
        }

        private void onAnswer(int e, boolean good, long sent) {
            inFlight[e]--;
            outcomes.get(e).onAnswered(good, sent, now);
            if (good) {
                served++;
            } else {
                endpoints.get(e).badAnswers.add(now);
            }
        }
    }
}
