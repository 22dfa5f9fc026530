package org.ragwortrun.measure.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.HdrHistogram.Histogram;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.ragwortrun.measure.budgets.EventQueue;
import org.ragwortrun.router.internal.forward.PromptPart;
import org.ragwortrun.routing.EndpointPerformance.Evidence;

/** Plays one load in virtual time, with routers that all choose by one policy. */
public final class RoutingRun {
    private static final long MICROS_PER_MS = 1_000;
    private static final long MS_PER_SECOND = 1_000;
    private static final double MICROS_PER_SECOND = 1e6;
    private static final long LATENCY_MICROS = 700;
    private static final long WARM_UP_MS = 5_000;
    private static final long SHARE_INTERVAL_MICROS = 4_000_000;
    private static final long LATE_MICROS = 8_000_000;
    private static final int LARGE_SHARED = 6_300;
    private static final int LARGE_OWN = 2_890;
    private static final int SMALL_SHARED = 400;
    private static final int SMALL_OWN = 700;
    private static final double LARGE_SHARE = 0.35;
    private static final int MIN_EVENTS = 10;
    private static final int EVENT_SPREAD = 100;

    private static final SimulatedRequest.Listener NO_LISTENER = new SimulatedRequest.Listener() {
        @Override
        public void onFirstEvent() {}

        @Override
        public void onGap(double gapMs) {}

        @Override
        public void onEnd() {}
    };

    private final EventQueue events = new EventQueue();
    private final RoutingLoad load;
    private final Policy policy;
    private final UniformRandomProvider arrivals;
    private final UniformRandomProvider random;
    private final List<SimulatedEndpoint> endpoints;
    private final List<SimulatedRouter> routers;
    private final Histogram firstEventMicros = new Histogram(3);
    private final List<long[]> sentBySecond = new ArrayList<>();
    private final long[] servedByRouter;
    private final long[] askedByRouter;
    private long asked;
    private long served;
    private long rejected;
    private long tooLarge;

    /** Creates a run. Runs with the same load and seed have the same requests. */
    public RoutingRun(RoutingLoad load, Policy policy, long seed) {
        this.load = load;
        this.policy = policy;
        arrivals = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed + 1);
        endpoints = IntStream.range(0, load.speeds().size())
                .mapToObj(e -> new SimulatedEndpoint(events, load, e))
                .toList();
        routers = IntStream.range(0, load.routerRates().size())
                .mapToObj(r -> new SimulatedRouter(r, load, events))
                .toList();
        servedByRouter = new long[routers.size()];
        askedByRouter = new long[routers.size()];
    }

    /** Plays the run to its end. */
    public RoutingRun play() {
        for (int i = 0; i <= load.seconds(); i++) {
            sentBySecond.add(new long[endpoints.size()]);
        }
        double total =
                load.routerRates().stream().mapToDouble(Double::doubleValue).sum();
        arrive(total);
        events.after(SHARE_INTERVAL_MICROS, this::share);
        if (load.disturbance().restarts()) {
            events.at(
                    load.disturbance().toMs() * MICROS_PER_MS,
                    () -> routers.forEach(
                            r -> r.views().get(load.disturbance().endpoint()).onNewIncarnation(events.nanos())));
        }
        // Answers after the last arrival are awaited for as long as they count as served.
        events.runUntil((long) ((load.seconds() * MS_PER_SECOND + load.goalMs()) * MICROS_PER_MS));
        return this;
    }

    /** Returns the requests after the warm-up. */
    public long asked() {
        return asked;
    }

    /** Returns the share of the requests that were answered within the goal. */
    public double servedShare() {
        return (double) served / asked;
    }

    /** Returns the share of the requests of one router that were answered within the goal. */
    public double servedShare(int router) {
        return (double) servedByRouter[router] / askedByRouter[router];
    }

    /** Returns the share of the requests that an endpoint rejected. */
    public double rejectedShare() {
        return (double) rejected / asked;
    }

    /** Returns the requests that were sent to an endpoint whose memory cannot hold them. */
    public long tooLarge() {
        return tooLarge;
    }

    /** Returns the mean time to the first event in milliseconds. */
    public double meanMs() {
        return firstEventMicros.getMean() / MICROS_PER_MS;
    }

    /** Returns a percentile of the time to the first event in milliseconds. */
    public double percentileMs(double percentile) {
        return (double) firstEventMicros.getValueAtPercentile(percentile) / MICROS_PER_MS;
    }

    /** Returns the share of the requests in some seconds that was sent to an endpoint. */
    public double shareOf(int endpoint, int fromSecond, int toSecond) {
        long own = 0;
        long all = 0;
        for (long[] sent : sentBySecond.subList(fromSecond, toSecond)) {
            own += sent[endpoint];
            for (long n : sent) {
                all += n;
            }
        }
        return (double) own / all;
    }

    private void arrive(double perSecond) {
        if (events.millis() < load.seconds() * MS_PER_SECOND) {
            place(drawRouter(perSecond), drawRequest());
            events.after(
                    (long) (-Math.log(1 - arrivals.nextDouble()) * MICROS_PER_SECOND / perSecond),
                    () -> arrive(perSecond));
        }
    }

    private int drawRouter(double perSecond) {
        double left = arrivals.nextDouble() * perSecond;
        int r = 0;
        while (r < routers.size() - 1 && left >= load.routerRates().get(r)) {
            left -= load.routerRates().get(r);
            r++;
        }
        return r;
    }

    private SimulatedRequest drawRequest() {
        boolean large = arrivals.nextDouble() < LARGE_SHARE;
        boolean hot = arrivals.nextDouble() < load.hotShare();
        int shared = hot ? 0 : arrivals.nextInt(Math.max(1, load.sharedParts()));
        long own = arrivals.nextLong();
        int count = MIN_EVENTS + arrivals.nextInt(EVENT_SPREAD);
        double size = -Math.log(1 - arrivals.nextDouble());
        List<PromptPart> parts = !load.model()
                ? List.of()
                : List.of(
                        new PromptPart((large ? "large-" : "small-") + shared, large ? LARGE_SHARED : SMALL_SHARED),
                        new PromptPart("own-" + own, large ? LARGE_OWN : SMALL_OWN));
        long tokens = parts.stream().mapToLong(PromptPart::tokens).sum() + count;
        return new SimulatedRequest(parts, load.model() ? tokens : 0, count, size, NO_LISTENER);
    }

    private void place(int r, SimulatedRequest drawn) {
        SimulatedRouter router = routers.get(r);
        SimulatedView view = policy.choose(router, drawn, random::nextDouble);
        router.onSent();
        boolean counted = events.millis() >= WARM_UP_MS;
        asked += counted ? 1 : 0;
        askedByRouter[r] += counted ? 1 : 0;
        sentBySecond.get((int) (events.millis() / MS_PER_SECOND))[view.number()]++;
        if (drawn.maxTokens() > load.kvTokens().get(view.number())) {
            tooLarge++;
        }
        Answer answer = new Answer(r, view, drawn, counted);
        SimulatedRequest request = drawn.with(answer);
        events.after(LATENCY_MICROS, () -> {
            if (!endpoints.get(view.number()).offer(request)) {
                rejected += counted ? 1 : 0;
                answer.onRejected();
            }
        });
    }

    private void share() {
        events.after(SHARE_INTERVAL_MICROS, this::share);
        if (load.sharing() == RoutingLoad.Sharing.MISSING) {
            return;
        }
        SimulatedRouter hub = routers.get(0);
        long sentNanos = events.nanos();
        long delay = load.sharing() == RoutingLoad.Sharing.LATE ? LATE_MICROS : LATENCY_MICROS;
        for (int e = 0; e < endpoints.size(); e++) {
            int number = e;
            for (SimulatedRouter r : routers) {
                r.views()
                        .get(e)
                        .performance()
                        .takeUnreported()
                        .ifPresent(v -> events.after(
                                delay,
                                () -> hub.views().get(number).performance().addReport(stated(v), events.nanos())));
            }
        }
        events.after(
                delay + 1,
                () -> IntStream.range(0, endpoints.size())
                        .forEach(e -> hub.views()
                                .get(e)
                                .performance()
                                .pooled(sentNanos)
                                .ifPresent(v -> routers.forEach(
                                        r -> r.views().get(e).performance().setOthers(v)))));
    }

    private Evidence stated(Evidence v) {
        return load.sharing() == RoutingLoad.Sharing.FALSE
                ? new Evidence(Math.exp(2 * random.nextDouble() - 1), v.weight(), v.newestNanos())
                : v;
    }

    /** Receives one answer at its router. */
    private final class Answer implements SimulatedRequest.Listener {
        private final int router;
        private final SimulatedView view;
        private final boolean counted;
        private final long sentNanos = events.nanos();
        private final double tokens;
        private final int uncached;
        private boolean begun;

        Answer(int router, SimulatedView view, SimulatedRequest request, boolean counted) {
            this.router = router;
            this.view = view;
            this.counted = counted;
            long pending = view.pendingTokens();
            uncached = view.onSent(this, request.parts(), sentNanos);
            tokens = (double) pending + uncached;
        }

        @Override
        public void onFirstEvent() {
            events.after(LATENCY_MICROS, () -> {
                begin();
                routers.get(router)
                        .performance()
                        .onFirstEvent(view.performance(), tokens, events.nanos() - sentNanos, events.nanos());
            });
        }

        @Override
        public void onGap(double gapMs) {
            routers.get(router).performance().onGap(view.performance(), (long) (gapMs * 1e6), events.nanos());
        }

        @Override
        public void onEnd() {
            events.after(LATENCY_MICROS, () -> {
                if (!begun) {
                    begin();
                    routers.get(router)
                            .performance()
                            .onAnswer(view.performance(), tokens, events.nanos() - sentNanos, events.nanos());
                }
                view.onEnded();
            });
        }

        void onRejected() {
            events.after(LATENCY_MICROS, () -> {
                view.onAnswerBegun(this, uncached);
                view.onEnded();
            });
        }

        private void begin() {
            begun = true;
            view.onAnswerBegun(this, uncached);
            long micros = (events.nanos() - sentNanos) / 1_000;
            if (counted) {
                firstEventMicros.recordValue(micros);
                boolean inTime = micros <= load.goalMs() * MICROS_PER_MS;
                served += inTime ? 1 : 0;
                servedByRouter[router] += inTime ? 1 : 0;
            }
        }
    }
}
