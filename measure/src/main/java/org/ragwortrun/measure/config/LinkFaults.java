package org.ragwortrun.measure.config;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.ragwortrun.measure.fleet.FleetException;
import org.ragwortrun.standins.FaultProxy;

/** Faults of the links between one router and the members. */
final class LinkFaults {
    private static final int LEAST_DELAY_MS = 20;
    private static final int MOST_DELAY_MS = 120;
    private static final int DELAYED_MS = 4_000;
    private static final int LEAST_STALL_MS = 100;
    private static final int MOST_STALL_MS = 700;
    private static final int MOST_OPENING_MS = 100;
    private static final int STUTTERING_MS = 8_000;
    private static final int LEAST_FAULT_MS = 200;
    private static final int MOST_FAULT_MS = 3_000;
    private static final int MOST_BYTES = 4_000;

    private final ConfigFleet fleet;
    private final UniformRandomProvider random;
    private final DisturbanceLog log;
    private int next;

    LinkFaults(ConfigFleet fleet, UniformRandomProvider random, DisturbanceLog log) {
        this.fleet = fleet;
        this.random = random;
        this.log = log;
        next = random.nextInt(fleet.disturbedRouters().size());
    }

    List<FaultPlayer.Fault> all() {
        return List.of(
                this::delay,
                this::delay,
                this::delay,
                this::stutter,
                this::stutter,
                this::reset,
                () -> harm("links_reset_midway", p -> p.resetAfter(random.nextInt(MOST_BYTES))),
                () -> harm("links_stalled", FaultProxy::freeze),
                () -> harm("links_drop_to_router", p -> p.drop(FaultProxy.Direction.TO_CLIENT)),
                () -> harm("links_drop_to_members", p -> p.drop(FaultProxy.Direction.TO_SERVER)));
    }

    /** Delays all links of a steady router, which does not excuse it from following the configuration. */
    private void delay() throws InterruptedException {
        List<String> steady = fleet.steadyRouters();
        String router = steady.get(random.nextInt(steady.size()));
        int ms = random.nextInt(LEAST_DELAY_MS, MOST_DELAY_MS);
        log.fault("links_delayed", router + " ms=" + ms);
        List<FaultProxy> links = fleet.links(router);
        links.forEach(p -> p.delay(ms));
        TimeUnit.MILLISECONDS.sleep(DELAYED_MS);
        links.forEach(p -> p.delay(0));
    }

    /**
     * Lets the links of a steady router through for short moments only, as a link that is full or loses packets does. No
     * stall excuses the router from following the configuration.
     */
    private void stutter() throws InterruptedException {
        List<String> steady = fleet.steadyRouters();
        String router = steady.get(random.nextInt(steady.size()));
        log.fault("links_stuttering", router + " ms=" + STUTTERING_MS);
        List<FaultProxy> links = fleet.links(router);
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(STUTTERING_MS);
        while (System.nanoTime() - end < 0) {
            links.forEach(FaultProxy::freeze);
            TimeUnit.MILLISECONDS.sleep(random.nextInt(LEAST_STALL_MS, MOST_STALL_MS));
            links.forEach(FaultProxy::heal);
            TimeUnit.MILLISECONDS.sleep(random.nextInt(1, MOST_OPENING_MS));
        }
    }

    private void reset() throws FleetException, InterruptedException {
        String router = next();
        List<FaultProxy> links = chosen(router);
        log.fault("links_reset", router + " links=" + links.size());
        log.during(kind(links), List.of(router), () -> {
            links.forEach(FaultProxy::disconnect);
            links.forEach(FaultProxy::heal);
        });
    }

    private void harm(String fault, Consumer<FaultProxy> action) throws FleetException, InterruptedException {
        String router = next();
        List<FaultProxy> links = chosen(router);
        int ms = random.nextInt(LEAST_FAULT_MS, MOST_FAULT_MS);
        log.fault(fault, router + " links=" + links.size() + " ms=" + ms);
        log.during(kind(links), List.of(router), () -> {
            links.forEach(action);
            TimeUnit.MILLISECONDS.sleep(ms);
            links.forEach(FaultProxy::heal);
        });
    }

    /** Returns all links of a router, or one. */
    private List<FaultProxy> chosen(String router) {
        List<FaultProxy> links = fleet.links(router);
        return random.nextBoolean() ? links : List.of(links.get(random.nextInt(links.size())));
    }

    private Disturbance.Kind kind(List<FaultProxy> harmed) {
        return 2 * harmed.size() < fleet.members().size() ? Disturbance.Kind.SOME_LINKS : Disturbance.Kind.LINKS;
    }

    private String next() {
        List<String> routers = fleet.disturbedRouters();
        next++;
        return routers.get(next % routers.size());
    }
}
