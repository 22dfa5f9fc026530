package org.ragwortrun.measure.config;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.UniformRandomProvider;
import org.ragwortrun.measure.fleet.FleetException;
import org.ragwortrun.measure.fleet.FleetProcess;

/** Faults of routers, one router at a time. */
final class RouterFaults {
    private static final int LEAST_FREEZE_MS = 300;
    private static final int MOST_FREEZE_MS = 3_800;
    private static final int ROLLING = 2;

    private final ConfigFleet fleet;
    private final UniformRandomProvider random;
    private final DisturbanceLog log;
    private int next;

    RouterFaults(ConfigFleet fleet, UniformRandomProvider random, DisturbanceLog log) {
        this.fleet = fleet;
        this.random = random;
        this.log = log;
    }

    List<FaultPlayer.Fault> all() {
        return List.of(this::freeze, this::freeze, this::freeze, this::kill, this::restartInTurn);
    }

    private void freeze() throws FleetException, InterruptedException {
        String name = next();
        int ms = random.nextInt(LEAST_FREEZE_MS, MOST_FREEZE_MS);
        log.fault("router_frozen", name + " ms=" + ms);
        FleetProcess p = fleet.processes().process(name);
        log.during(Disturbance.Kind.FROZEN, List.of(name), () -> {
            p.setSuspended(true);
            try {
                TimeUnit.MILLISECONDS.sleep(ms);
            } finally {
                p.setSuspended(false);
            }
        });
    }

    private void kill() throws FleetException, InterruptedException {
        String name = next();
        log.fault("router_killed", name);
        FleetProcess p = fleet.processes().process(name);
        log.during(Disturbance.Kind.RESTARTED, List.of(name), () -> {
            p.kill();
            start(p);
        });
    }

    /** Stops and starts routers one after another, as a release does. */
    private void restartInTurn() throws FleetException, InterruptedException {
        for (int i = 0; i < ROLLING; i++) {
            String name = next();
            log.fault("router_restarted", name);
            FleetProcess p = fleet.processes().process(name);
            log.during(Disturbance.Kind.RESTARTED, List.of(name), () -> {
                p.stop();
                start(p);
            });
        }
    }

    private void start(FleetProcess p) throws FleetException {
        p.start();
        fleet.processes().awaitReady(p.name());
    }

    /** Returns the routers in turn, so that the others have time to become undisturbed. */
    private String next() {
        List<String> routers = fleet.disturbedRouters();
        next++;
        return routers.get(next % routers.size());
    }
}
