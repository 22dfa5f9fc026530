package org.ragwortrun.measure.process;

import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import org.ragwortrun.measure.Bound;
import org.ragwortrun.measure.FigureReport;
import org.ragwortrun.measure.Measurement;
import org.ragwortrun.measure.MeasurementException;
import org.ragwortrun.measure.fleet.Caller;
import org.ragwortrun.measure.fleet.Fleet;
import org.ragwortrun.measure.fleet.FleetException;
import org.ragwortrun.measure.fleet.FleetProcess;
import org.ragwortrun.measure.fleet.Response;
import org.ragwortrun.measure.fleet.SmallFleet;

/** Measures the latency and processor time that the fleet adds, compared with direct calls in the same run. */
public final class OverheadMeasurement implements Measurement {
    private static final int WARM_UP_REQUESTS = 600;
    private static final int REQUESTS = 1_500;
    private static final int OUTPUT_TOKENS = 8;
    private static final long MAX_LATENCY_US = TimeUnit.SECONDS.toMicros(60);

    @Override
    public void run(long seed, Map<String, String> options, FigureReport report) throws MeasurementException {
        try (Fleet fleet = SmallFleet.create(0)) {
            SmallFleet.start(fleet);
            Caller caller = new Caller(SmallFleet.DEALER_KEY);
            String direct = fleet.endpointUrl("m1");
            String routed = fleet.url("r1");
            measureCalls(caller, direct, seed, WARM_UP_REQUESTS);
            measureCalls(caller, routed, seed, WARM_UP_REQUESTS);
            // Direct and routed calls alternate in blocks, so that changes in machine load affect both alike.
            Histogram directLatency = new Histogram(MAX_LATENCY_US, 3);
            Histogram routedLatency = new Histogram(MAX_LATENCY_US, 3);
            long routerCpu = 0;
            long agentCpu = 0;
            int blocks = 5;
            for (int i = 0; i < blocks; i++) {
                directLatency.add(measureCalls(caller, direct, seed, REQUESTS / blocks));
                long routerBefore = fleet.process("r1").cpuMillis();
                long agentBefore = agentCpu(fleet);
                routedLatency.add(measureCalls(caller, routed, seed, REQUESTS / blocks));
                routerCpu += fleet.process("r1").cpuMillis() - routerBefore;
                agentCpu += agentCpu(fleet) - agentBefore;
            }
            report.covered("requests", routedLatency.getTotalCount());
            reportLatency(report, "direct", directLatency);
            reportLatency(report, "routed", routedLatency);
            report.figure("added_p50", difference(routedLatency, directLatency, 50), "us", Bound.none());
            report.figure("added_p99", difference(routedLatency, directLatency, 99), "us", Bound.none());
            report.figure("ratio_p50", ratio(routedLatency, directLatency, 50), "1", Bound.none());
            report.figure("ratio_p99", ratio(routedLatency, directLatency, 99), "1", Bound.none());
            double requests = routedLatency.getTotalCount();
            report.figure("router_cpu_per_request", routerCpu * 1000 / requests, "us", Bound.none());
            report.figure("agent_cpu_per_request", agentCpu * 1000 / requests, "us", Bound.none());
        } catch (FleetException e) {
            throw new MeasurementException(String.valueOf(e.getMessage()), e);
        }
    }

    private static long agentCpu(Fleet fleet) throws FleetException {
        long total = 0;
        for (String name : new String[] {"m1", "m2"}) {
            FleetProcess agent = fleet.process(name);
            total += agent.cpuMillis();
        }
        return total;
    }

    private static Histogram measureCalls(Caller caller, String base, long seed, int count) throws FleetException {
        Histogram latency = new Histogram(MAX_LATENCY_US, 3);
        for (int i = 0; i < count; i++) {
            long start = System.nanoTime();
            Response answer =
                    caller.chat(base, SmallFleet.MODEL, "question " + seed + " " + i, OUTPUT_TOKENS, false, "");
            if (answer.status() != 200) {
                throw new FleetException("call to " + base + " answered " + answer.status() + ": " + answer.body());
            }
            latency.recordValue(TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - start));
        }
        return latency;
    }

    private static void reportLatency(FigureReport report, String name, Histogram latency) {
        report.figure(name + "_p50", latency.getValueAtPercentile(50), "us", Bound.none());
        report.figure(name + "_p99", latency.getValueAtPercentile(99), "us", Bound.none());
    }

    private static double difference(Histogram a, Histogram b, double percentile) {
        return a.getValueAtPercentile(percentile) - b.getValueAtPercentile(percentile);
    }

    private static double ratio(Histogram a, Histogram b, double percentile) {
        return (double) a.getValueAtPercentile(percentile) / b.getValueAtPercentile(percentile);
    }
}
