package org.ragwortrun.measure.limits;

import java.util.List;
import java.util.Map;
import org.ragwortrun.measure.Bound;
import org.ragwortrun.measure.FigureReport;
import org.ragwortrun.measure.Measurement;

/** How far fleets of several sizes keep to the limits of endpoints, and how much of them they use. */
public final class LimitsMeasurement implements Measurement {
    private static final List<Integer> ROUTERS = List.of(7, 35, 340);
    private static final double MIN_USED = 0.7;

    @Override
    public void run(long seed, Map<String, String> options, FigureReport report) {
        for (int routers : ROUTERS) {
            for (LimitCase limitCase : LimitCase.values()) {
                LimitsRun run = new LimitsRun(limitCase, Scheme.COORDINATED, routers, seed).play();
                report.covered("requests", run.asked());
                String name = limitCase.figure() + "_" + routers;
                figures(report, name, run, Bound.atMost(1), Bound.atLeast(MIN_USED));
                report.figure(name + "_permit_requests", run.permitRequestsPerSecond(), "1/s", Bound.none());
            }
            for (Scheme other : List.of(Scheme.EQUAL_SHARES, Scheme.EACH_ALONE, Scheme.IGNORED)) {
                LimitsRun run = new LimitsRun(LimitCase.ONE_LIMITED, other, routers, seed).play();
                String name = other.figure() + "_" + LimitCase.ONE_LIMITED.figure() + "_" + routers;
                figures(report, name, run, Bound.none(), Bound.none());
            }
        }
    }

    private static void figures(FigureReport report, String name, LimitsRun run, Bound most, Bound used) {
        report.figure(name + "_most_of_tolerated", run.mostOfTolerated(), "1", most);
        report.figure(name + "_used", run.usedShare(), "1", used);
        report.figure(name + "_refused", run.refusedShare(), "1", Bound.none());
    }
}
