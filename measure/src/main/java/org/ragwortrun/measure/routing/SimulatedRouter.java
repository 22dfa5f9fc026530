package org.ragwortrun.measure.routing;

import java.util.List;
import java.util.stream.IntStream;
import org.ragwortrun.measure.budgets.EventQueue;
import org.ragwortrun.routing.OriginPerformance;

/** One router of a run. */
final class SimulatedRouter {
    // Routers and endpoints are divided among this many data centers.
    private static final int DATA_CENTERS = 3;

    private final RoutingLoad load;
    private final EventQueue events;
    private final OriginPerformance performance = new OriginPerformance();
    private final List<SimulatedView> views;
    private long sent;

    SimulatedRouter(int number, RoutingLoad load, EventQueue events) {
        this.load = load;
        this.events = events;
        views = IntStream.range(0, load.speeds().size())
                .mapToObj(e -> new SimulatedView(e, load, e % DATA_CENTERS == number % DATA_CENTERS))
                .toList();
    }

    RoutingLoad load() {
        return load;
    }

    List<SimulatedView> views() {
        return views;
    }

    OriginPerformance performance() {
        return performance;
    }

    long sent() {
        return sent;
    }

    long nanos() {
        return events.nanos();
    }

    void onSent() {
        sent++;
    }
}
