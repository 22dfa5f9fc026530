package org.ragwortrun.measure.process;

import java.util.List;
import org.ragwortrun.measure.fleet.Fleet;
import org.ragwortrun.measure.fleet.FleetException;

/** Injects faults at fixed numbers of completed requests, independently of time. */
final class FaultSchedule {
    private static final List<Fault> FAULTS = List.of(
            new Fault("router killed and restarted", FaultSchedule::killRouter),
            new Fault("agent killed and restarted", FaultSchedule::killAgent),
            new Fault("endpoint killed and restarted", FaultSchedule::killEndpoint),
            new Fault("control member killed and restarted", FaultSchedule::killControl),
            new Fault("router stopped gracefully and restarted", FaultSchedule::stopRouter));

    private final Fleet fleet;
    private final long requestsPerFault;
    private int applied;

    /**
     * Creates a schedule.
     *
     * @param requests number of requests in the run, over which the faults are spread evenly
     */
    FaultSchedule(Fleet fleet, long requests) {
        this.fleet = fleet;
        requestsPerFault = Math.max(1, requests / (FAULTS.size() + 1));
    }

    /** Applies the next fault if enough requests have completed. Returns its name, or an empty string. */
    String applyNextIfDue(long completed) throws FleetException {
        if (completed < requestsPerFault * (applied + 1)) {
            return "";
        }
        Fault fault = FAULTS.get(applied % FAULTS.size());
        applied++;
        fault.action().apply(fleet);
        return fault.name();
    }

    int applied() {
        return applied;
    }

    private static void killRouter(Fleet fleet) throws FleetException {
        fleet.process("r2").kill();
        fleet.process("r2").start();
        fleet.awaitReady("r2");
    }

    private static void killAgent(Fleet fleet) throws FleetException {
        fleet.process("m2").kill();
        fleet.process("m2").start();
    }

    private static void killEndpoint(Fleet fleet) throws FleetException {
        fleet.process(Fleet.standinName("m1")).kill();
        fleet.process(Fleet.standinName("m1")).start();
    }

    private static void killControl(Fleet fleet) throws FleetException {
        fleet.process("c1").kill();
        fleet.process("c1").start();
    }

    private static void stopRouter(Fleet fleet) throws FleetException {
        fleet.process("r1").stop();
        fleet.process("r1").start();
        fleet.awaitReady("r1");
    }

    private record Fault(String name, Action action) {}

    /** Injects a fault and restarts the process. */
    @FunctionalInterface
    private interface Action {
        void apply(Fleet fleet) throws FleetException;
    }
}
