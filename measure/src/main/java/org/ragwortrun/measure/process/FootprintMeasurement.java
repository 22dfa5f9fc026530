package org.ragwortrun.measure.process;

import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.ragwortrun.measure.Bound;
import org.ragwortrun.measure.FigureReport;
import org.ragwortrun.measure.Measurement;
import org.ragwortrun.measure.MeasurementException;
import org.ragwortrun.measure.fleet.Caller;
import org.ragwortrun.measure.fleet.Fleet;
import org.ragwortrun.measure.fleet.FleetException;
import org.ragwortrun.measure.fleet.SmallFleet;

/** Measures start time, memory, threads and idle processor time of an agent and a router. */
public final class FootprintMeasurement implements Measurement {
    private static final int LOAD_REQUESTS = 400;
    private static final int IDLE_SECONDS = 10;
    private static final double KIB_PER_MIB = 1024;
    // The plan allows each daemon 1.3 % of a core for control work.
    private static final double IDLE_CPU_LIMIT_PERCENT = 1.3;

    @Override
    public void run(long seed, Map<String, String> options, FigureReport report) throws MeasurementException {
        try (Fleet fleet = SmallFleet.create(1)) {
            SmallFleet.start(fleet);
            Fleet.idleOneSecond();
            for (String name : new String[] {"m1", "r1"}) {
                String role = "m1".equals(name) ? "agent" : "router";
                report.figure(role + "_idle_rss", fleet.process(name).residentKib() / KIB_PER_MIB, "MiB", Bound.none());
                report.figure(role + "_threads", fleet.process(name).threads(), "1", Bound.none());
                report.figure(
                        role + "_idle_cpu", idleCpuPercent(fleet, name), "%", Bound.atMost(IDLE_CPU_LIMIT_PERCENT));
            }
            load(fleet, seed);
            report.covered("requests", LOAD_REQUESTS);
            report.figure("agent_loaded_rss", fleet.process("m1").residentKib() / KIB_PER_MIB, "MiB", Bound.none());
            report.figure("router_loaded_rss", fleet.process("r1").residentKib() / KIB_PER_MIB, "MiB", Bound.none());
            report.figure("router_start", routerStartMillis(fleet), "ms", Bound.none());
        } catch (FleetException e) {
            throw new MeasurementException(String.valueOf(e.getMessage()), e);
        }
    }

    private static double idleCpuPercent(Fleet fleet, String name) throws FleetException {
        long before = fleet.process(name).cpuMillis();
        long start = System.nanoTime();
        for (int i = 0; i < IDLE_SECONDS; i++) {
            Fleet.idleOneSecond();
        }
        double elapsedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);
        return 100 * (fleet.process(name).cpuMillis() - before) / elapsedMs;
    }

    private static void load(Fleet fleet, long seed) throws FleetException {
        Caller caller = new Caller(SmallFleet.DEALER_KEY);
        for (int i = 0; i < LOAD_REQUESTS; i++) {
            caller.chat(fleet.url("r1"), SmallFleet.MODEL, "load " + seed + " " + i, 16, true, "");
        }
    }

    private static double routerStartMillis(Fleet fleet) throws FleetException {
        fleet.process("r1").stop();
        long start = System.nanoTime();
        fleet.process("r1").start();
        fleet.awaitReady("r1");
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);
    }
}
