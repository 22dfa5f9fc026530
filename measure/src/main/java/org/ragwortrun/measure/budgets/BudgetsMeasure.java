package org.ragwortrun.measure.budgets;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.ragwortrun.measure.Bound;
import org.ragwortrun.measure.FigureReport;
import org.ragwortrun.measure.Measurement;

/** Measures overspend, false refusals and bills of the grant design and of two baselines on the same calls. */
public final class BudgetsMeasure implements Measurement {
    private static final double PERCENT = 100;
    private static final Bound ZERO = Bound.atMost(0);
    private static final Bound MAX_PERCENT_WITHOUT_FAULTS = Bound.atMost(0.1);
    private static final Bound MAX_PERCENT_THROUGH_PARTITION = Bound.atMost(1);

    /** Runs the measurement from the command line and exits with 0 only if every bound holds. */
    public static void main(String[] args) {
        System.exit(run(args));
    }

    static int run(String[] args) {
        Map<String, String> options = new HashMap<>();
        for (int i = 0; i + 1 < args.length; i += 2) {
            options.put(args[i].replaceFirst("^--", ""), args[i + 1]);
        }
        long seed = Long.parseLong(options.getOrDefault("seed", "1"));
        FigureReport report = new FigureReport(System.out, seed);
        new BudgetsMeasure().run(seed, options, report);
        return report.finish() ? 0 : 1;
    }

    @Override
    public void run(long seed, Map<String, String> options, FigureReport report) {
        long partition = Long.parseLong(options.getOrDefault("seconds", "0")) * Scenario.SECOND_MICROS;
        Scenario calm = Scenario.create(seed, Scenario.Kind.NONE, partition);
        Scenario faulty = Scenario.create(seed, Scenario.Kind.CRASH_OUTSIDE_PARTITION, partition);
        Scenario both = Scenario.create(seed, Scenario.Kind.CRASH_IN_PARTITION, partition);
        Set<String> calmAdmitted = PerfectLedger.admitted(calm);
        Set<String> faultyAdmitted = PerfectLedger.admitted(faulty);
        report.covered("requests", calm.calls().size() + faulty.calls().size());
        report.covered(
                "partition-seconds",
                (faulty.faults().healMicros() - faulty.faults().partitionMicros()) / Scenario.SECOND_MICROS);
        report.covered("requests-a-perfect-ledger-refuses", refusedByPerfect(calm, calmAdmitted));
        for (GrantScheme design : List.of(GrantScheme.central(), GrantScheme.equalSplit(), GrantScheme.grants())) {
            boolean isProduct = design.name().equals("grants");
            SimulatedSite without = new SimulatedSite(calm, design).run();
            SimulatedSite through = new SimulatedSite(faulty, design).run();
            reportNotes(report, design, without, through);
            if (isProduct) {
                addCrashDuringPartition(report, both, new SimulatedSite(both, design).run());
            }
            new Figures(report, isProduct ? "" : design.name() + "-", isProduct)
                    .add(without, through, calm, faulty, calmAdmitted, faultyAdmitted);
        }
    }

    /** Adds figures of a run in which a router crashes during the partition, so that its fencing is delayed. */
    private static void addCrashDuringPartition(FigureReport report, Scenario scenario, SimulatedSite site) {
        GroundTruth t = site.truth();
        report.note("partition and crash at once: false refusals " + t.falseRefusals());
        report.figure("both-at-once-overspend", t.overspend(), "tokens", ZERO);
        report.figure("both-at-once-double-bills", t.doubleBills(site.owner().shard()), "bills", ZERO);
        report.figure("both-at-once-lost-bills", t.lostBills(site.owner().shard()), "bills", ZERO);
        report.figure("both-at-once-orders-run-twice", t.ordersRunTwice(), "orders", ZERO);
        report.figure(
                "both-at-once-false-refusals",
                Figures.refusedPercent(
                        scenario, t.admissible(), site, c -> scenario.faults().duringPartition(c.atMicros())),
                "percent",
                Bound.none());
    }

    private static long refusedByPerfect(Scenario scenario, Set<String> admitted) {
        return scenario.calls().size() - admitted.size();
    }

    private static void reportNotes(
            FigureReport report, GrantScheme design, SimulatedSite without, SimulatedSite through) {
        report.note(
                design.name() + " refusals without faults " + without.truth().refusals() + ", with faults "
                        + through.truth().refusals());
        report.note(design.name() + " false refusals without faults "
                + without.truth().falseRefusals() + ", with faults "
                + through.truth().falseRefusals());
        report.note(design.name() + " tokens held at the end without faults "
                + without.truth().held(without.owner().shard()) + ", with faults "
                + through.truth().held(through.owner().shard()));
        if (design.recalls()) {
            report.covered("partitions", through.partitions());
            report.covered("crashes", through.crashes());
            report.covered("calls-broken-by-crashes", through.interruptedCalls());
            report.covered("retries-by-callers", without.callerRetries() + through.callerRetries());
            report.covered(
                    "requests-run",
                    without.truth().requestsRun() + through.truth().requestsRun());
            report.note("second runs "
                    + (without.truth().duplicateRuns() + through.truth().duplicateRuns()));
        }
    }

    /** Adds the figures of one design; only the product's design has bounds. */
    private record Figures(FigureReport report, String prefix, boolean bounded) {
        void add(
                SimulatedSite without,
                SimulatedSite through,
                Scenario calm,
                Scenario faulty,
                Set<String> calmAdmitted,
                Set<String> faultyAdmitted) {
            GroundTruth a = without.truth();
            GroundTruth b = through.truth();
            figure("overspend", Math.max(a.overspend(), b.overspend()), "tokens", ZERO);
            figure(
                    "double-bills",
                    a.doubleBills(without.owner().shard())
                            + b.doubleBills(through.owner().shard()),
                    "bills",
                    ZERO);
            figure(
                    "lost-bills",
                    a.lostBills(without.owner().shard())
                            + b.lostBills(through.owner().shard()),
                    "bills",
                    ZERO);
            figure("orders-run-twice", a.ordersRunTwice() + b.ordersRunTwice(), "orders", ZERO);
            figure(
                    "false-refusals-without-faults",
                    refusedPercent(calm, a.admissible(), without, c -> true),
                    "percent",
                    MAX_PERCENT_WITHOUT_FAULTS);
            figure(
                    "false-refusals-through-partition",
                    refusedPercent(
                            faulty,
                            b.admissible(),
                            through,
                            c -> faulty.faults().duringPartition(c.atMicros())),
                    "percent",
                    MAX_PERCENT_THROUGH_PARTITION);
            figure(
                    "false-refusals-whole-faulty-run",
                    refusedPercent(faulty, b.admissible(), through, c -> true),
                    "percent",
                    Bound.none());
            figure(
                    "differs-from-separate-ledger-without-faults",
                    refusedPercent(calm, calmAdmitted, without, c -> true),
                    "percent",
                    MAX_PERCENT_WITHOUT_FAULTS);
            figure(
                    "differs-from-separate-ledger-through-partition",
                    refusedPercent(
                            faulty,
                            faultyAdmitted,
                            through,
                            c -> faulty.faults().duringPartition(c.atMicros())),
                    "percent",
                    MAX_PERCENT_THROUGH_PARTITION);
            double requests = calm.calls().size() + faulty.calls().size();
            double messages =
                    without.links().controlMessages() + through.links().controlMessages();
            double bytes = without.links().controlBytes() + through.links().controlBytes();
            double routerSeconds = Scenario.DATA_CENTERS
                    * (calm.lengthMicros() + faulty.lengthMicros())
                    / (double) Scenario.SECOND_MICROS;
            figure("control-messages-per-request", messages / requests, "messages", Bound.none());
            figure("control-bytes-per-request", bytes / requests, "bytes", Bound.none());
            figure("control-messages-per-router", messages / routerSeconds, "messages/s", Bound.none());
            figure("control-bytes-per-router", bytes / routerSeconds, "bytes/s", Bound.none());
        }

        private void figure(String name, double value, String unit, Bound bound) {
            report.figure(prefix + name, value, unit, bounded ? bound : Bound.none());
        }

        private static double refusedPercent(
                Scenario s, Set<String> admitted, SimulatedSite site, Predicate<Call> window) {
            List<Call> due = s.calls().stream()
                    .filter(window)
                    .filter(c -> admitted.contains(c.id()))
                    .toList();
            long refused =
                    due.stream().filter(c -> site.refusedIds().contains(c.id())).count();
            return due.isEmpty() ? Double.NaN : PERCENT * refused / due.size();
        }
    }
}
