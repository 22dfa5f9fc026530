package org.ragwortrun.measure.routing;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.stream.IntStream;
import org.ragwortrun.measure.routing.RoutingLoad.Sharing;

/** Loads that are played by the measurement and the tests. */
final class RoutingLoads {
    private static final List<Double> MODEL_SPEEDS = List.of(0.55, 1.2, 1.2, 1.2);
    private static final long KV_TOKENS = 634_802;
    // Each fourth router is larger and gets this many times the requests of the others.
    private static final double LARGE_ROUTER = 6;
    private static final int ROUTERS = 33;
    private static final int SHARED_PARTS = 40;
    private static final int MODEL_SLOTS = 96;
    private static final int MODEL_QUEUE = 201;
    private static final int PLAIN_SLOTS = 6;
    private static final int PLAIN_QUEUE = 24;
    private static final double GOAL_MS = 250;
    private static final double PLAIN_GOAL_MS = 200;
    private static final int SECONDS = 25;

    private RoutingLoads() {}

    /** Returns a load on model endpoints, one in four of which is about half as fast as the others. */
    static RoutingLoad model(int endpoints, double perEndpoint, double hotShare) {
        return model(endpoints, rates(ROUTERS, perEndpoint * endpoints), hotShare);
    }

    /** Returns a load on model endpoints with other rates of requests at the routers. */
    static RoutingLoad model(int endpoints, List<Double> rates, double hotShare) {
        return new RoutingLoad(
                true,
                IntStream.range(0, endpoints)
                        .mapToObj(e -> MODEL_SPEEDS.get(e % MODEL_SPEEDS.size()))
                        .toList(),
                Collections.nCopies(endpoints, KV_TOKENS),
                MODEL_SLOTS,
                MODEL_QUEUE,
                rates,
                SHARED_PARTS,
                hotShare,
                GOAL_MS,
                SECONDS,
                RoutingLoad.NONE,
                Sharing.ON_TIME);
    }

    /** Returns a load on endpoints that are no models, the first of which is about half as fast as the others. */
    static RoutingLoad plain(double perSecond) {
        return new RoutingLoad(
                false,
                List.of(0.55, 1.2, 1.2),
                Collections.nCopies(3, KV_TOKENS),
                PLAIN_SLOTS,
                PLAIN_QUEUE,
                rates(ROUTERS, perSecond),
                1,
                0,
                PLAIN_GOAL_MS,
                SECONDS,
                RoutingLoad.NONE,
                Sharing.ON_TIME);
    }

    /** Returns the rates of some busy routers, followed by quiet ones with one request a second. */
    static List<Double> busyAndQuiet(int busy, double busyRate, int quiet) {
        List<Double> rates = new ArrayList<>(Collections.nCopies(busy, busyRate));
        rates.addAll(Collections.nCopies(quiet, 1.0));
        return rates;
    }

    private static List<Double> rates(int routers, double total) {
        List<Double> weights = IntStream.range(0, routers)
                .mapToObj(r -> r % 4 == 0 ? LARGE_ROUTER : 1)
                .toList();
        double sum = weights.stream().mapToDouble(Double::doubleValue).sum();
        return weights.stream().map(w -> w / sum * total).toList();
    }
}
