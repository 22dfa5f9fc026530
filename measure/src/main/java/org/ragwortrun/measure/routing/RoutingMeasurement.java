package org.ragwortrun.measure.routing;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.ragwortrun.measure.Bound;
import org.ragwortrun.measure.FigureReport;
import org.ragwortrun.measure.Measurement;
import org.ragwortrun.router.internal.forward.LearnedPlacement;
import org.ragwortrun.router.internal.forward.PromptPart;
import org.ragwortrun.routing.EndpointPerformance;
import org.ragwortrun.routing.OriginPerformance;

/** How requests are divided among endpoints of different speed, and how long a decision takes at the planned size. */
public final class RoutingMeasurement implements Measurement {
    private static final int MAX_ENDPOINTS = 600;
    private static final double MAX_DECISION_MICROS = 20;
    private static final double MAX_ENDPOINT_BYTES = 2_000;
    private static final int DECISIONS = 200_000;
    private static final int WARM_UP_DECISIONS = 50_000;
    private static final int ENDPOINTS = 39;
    private static final double PER_ENDPOINT = 38;
    private static final double PLAIN_PER_SECOND = 240;
    private static final double HOT_SHARE = 0.3;
    private static final double MIN_SERVED = 0.97;
    private static final double PERCENTILE = 95;
    private static final double NANOS_PER_MICRO = 1_000;

    @Override
    public void run(long seed, Map<String, String> options, FigureReport report) {
        decide(seed, report);
        report.figure("bytes_per_endpoint", bytesPerEndpoint(), "bytes", Bound.atMost(MAX_ENDPOINT_BYTES));
        play("model", RoutingLoads.model(ENDPOINTS, PER_ENDPOINT, 0), seed, report);
        play("model_hot_part", RoutingLoads.model(ENDPOINTS, PER_ENDPOINT, HOT_SHARE), seed, report);
        play("plain", RoutingLoads.plain(PLAIN_PER_SECOND), seed, report);
    }

    private static void play(String name, RoutingLoad load, long seed, FigureReport report) {
        for (Policy policy : Policy.values()) {
            RoutingRun run = new RoutingRun(load, policy, seed).play();
            report.covered("requests", run.asked());
            String prefix = name + "_" + policy.name().toLowerCase(Locale.ROOT) + "_";
            Bound least = policy == Policy.LEARNED_RATES ? Bound.atLeast(MIN_SERVED) : Bound.none();
            report.figure(prefix + "served", run.servedShare(), "1", least);
            report.figure(prefix + "first_event_mean", run.meanMs(), "ms", Bound.none());
            report.figure(prefix + "first_event_p95", run.percentileMs(PERCENTILE), "ms", Bound.none());
        }
    }

    /** Measures decisions of one of 340 routers, whose requests are spread over all endpoints. */
    private static void decide(long seed, FigureReport report) {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        LearnedPlacement placement = new LearnedPlacement(random::nextDouble);
        OriginPerformance origin = new OriginPerformance();
        List<SimulatedView> views = views(random, origin);
        // Processor time, because other processes of the machine may interrupt a decision.
        ThreadMXBean threads = ManagementFactory.getThreadMXBean();
        long begin = 0;
        for (int i = 0; i < WARM_UP_DECISIONS + DECISIONS; i++) {
            if (i == WARM_UP_DECISIONS) {
                begin = threads.getCurrentThreadCpuTime();
            }
            // One request in 100 ms, so that no factor was computed shortly before.
            long now = i * 100_000_000L;
            List<PromptPart> parts =
                    List.of(new PromptPart("shared-" + random.nextInt(40), 6_300), new PromptPart("own-" + i, 2_900));
            LearnedPlacement.Request request = new LearnedPlacement.Request(parts, 9_400, true);
            SimulatedView chosen = placement.choose(views, request, origin, now).orElseThrow();
            int uncached = chosen.onSent(request, parts, now);
            chosen.onAnswerBegun(request, uncached);
            chosen.onEnded();
            origin.onFirstEvent(chosen.performance(), uncached, 50_000_000L, now);
        }
        double took = threads.getCurrentThreadCpuTime() - begin;
        report.covered("decisions", DECISIONS);
        report.figure(
                "decision_mean_600_endpoints",
                took / NANOS_PER_MICRO / DECISIONS,
                "us",
                Bound.atMost(MAX_DECISION_MICROS));
    }

    private static List<SimulatedView> views(UniformRandomProvider random, OriginPerformance origin) {
        RoutingLoad load = RoutingLoads.model(MAX_ENDPOINTS, 1, 0);
        List<SimulatedView> views = new ArrayList<>();
        for (int e = 0; e < MAX_ENDPOINTS; e++) {
            SimulatedView v = new SimulatedView(e, load, e % 8 == 0);
            for (int i = 0; i < 10; i++) {
                origin.onFirstEvent(v.performance(), 3_000, (long) (80e6 * random.nextDouble()), 0);
            }
            views.add(v);
        }
        return views;
    }

    /** Returns the heap that what is learned about an endpoint occupies. */
    private static double bytesPerEndpoint() {
        int count = 20_000;
        long before = usedHeap();
        List<OriginPerformance> kept = new ArrayList<>();
        List<Object> endpoints = new ArrayList<>();
        OriginPerformance origin = new OriginPerformance();
        kept.add(origin);
        for (int i = 0; i < count; i++) {
            EndpointPerformance p = new EndpointPerformance(0);
            origin.onFirstEvent(p, 100, 50_000_000L, i);
            p.addReport(new EndpointPerformance.Evidence(1.5, 2, i), i);
            endpoints.add(p);
        }
        double bytes = (double) (usedHeap() - before) / count;
        return kept.isEmpty() || endpoints.isEmpty() ? 0 : bytes;
    }

    private static long usedHeap() {
        Runtime r = Runtime.getRuntime();
        System.gc();
        return r.totalMemory() - r.freeMemory();
    }
}
