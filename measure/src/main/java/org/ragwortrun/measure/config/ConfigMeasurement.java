package org.ragwortrun.measure.config;

import java.io.IOException;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.ragwortrun.measure.Bound;
import org.ragwortrun.measure.FigureReport;
import org.ragwortrun.measure.Measurement;
import org.ragwortrun.measure.MeasurementException;
import org.ragwortrun.measure.fleet.FleetException;

/** The time until an acknowledged change is in force at all routers, and what they answer meanwhile, under faults. */
public final class ConfigMeasurement implements Measurement {
    private static final String DEFAULT_SECONDS = "30";
    private static final double AIM_MS = 1_000;
    private static final double LIMIT_MS = TimeUnit.NANOSECONDS.toMillis(ConfigJudge.LIMIT_NANOS);
    private static final double NANOS_PER_MS = TimeUnit.MILLISECONDS.toNanos(1);
    private static final int MOST_TRACED = 20;
    private static final String MS = "ms";
    private static final String ONE = "1";

    @Override
    public void run(long seed, Map<String, String> options, FigureReport report) throws MeasurementException {
        try (ConfigRun run = new ConfigRun(seed, report::note)) {
            report.note("logs in " + run.fleet().processes().folder());
            run.play(
                    Integer.parseInt(options.getOrDefault("seconds", DEFAULT_SECONDS)),
                    Integer.parseInt(options.getOrDefault("busy", "0")));
            covered(run, report);
            ConfigJudge judge = new ConfigJudge(run.log().disturbances());
            denials(run, judge, report);
            oldParts(run, judge, report);
            delays(run, judge, report);
            report.figure("own_lag_worst", run.worstLagNanos() / NANOS_PER_MS, MS, Bound.none());
            answers(run, report);
            deliveries(run, report);
        } catch (FleetException | IOException e) {
            throw new MeasurementException("the run failed", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new MeasurementException("interrupted", e);
        }
    }

    private static void covered(ConfigRun run, FigureReport report) {
        report.covered("changes", run.changes().all().size());
        Map<String, Integer> faults = new TreeMap<>(run.log().counts());
        report.covered(
                "faults", faults.values().stream().mapToInt(Integer::intValue).sum());
        faults.forEach(report::covered);
    }

    private static void denials(ConfigRun run, ConfigJudge judge, FigureReport report) {
        List<Denial> all =
                run.records().stream().flatMap(r -> r.denials().stream()).toList();
        List<Denial> late = all.stream().filter(judge::isFalse).toList();
        late.stream()
                .sorted(Comparator.comparing(judge::wasFrozen))
                .limit(MOST_TRACED)
                .forEach(d ->
                        report.note("false denial " + d + " sent " + run.log().wallTime(d.sentNanos())));
        long frozen = late.stream().filter(judge::wasFrozen).count();
        report.figure("false_denials_not_frozen", late.size() - frozen, ONE, Bound.atMost(0));
        report.figure("false_denials_frozen", frozen, ONE, Bound.atMost(0));
        report.figure("denials_in_time", all.size() - late.size(), ONE, Bound.none());
    }

    private static void oldParts(ConfigRun run, ConfigJudge judge, FigureReport report) {
        List<OldPartAnswer> all =
                run.records().stream().flatMap(r -> r.oldParts().stream()).toList();
        report.covered("old_parts_asked", all.size());
        List<OldPartAnswer> followed =
                all.stream().filter(OldPartAnswer::followed).toList();
        List<OldPartAnswer> connected =
                followed.stream().filter(d -> !judge.mayBeCutOff(d)).toList();
        connected.stream()
                .limit(MOST_TRACED)
                .forEach(d -> report.note("old part followed " + d + " sent "
                        + run.log().wallTime(d.sentNanos()) + " answered "
                        + run.log().wallTime(d.answeredNanos())));
        for (OldPart part : OldPart.values()) {
            List<OldPartAnswer> of =
                    connected.stream().filter(d -> d.part() == part).toList();
            long frozen = of.stream().filter(judge::wasFrozen).count();
            report.figure("old_" + part.text() + "_followed_not_frozen", of.size() - frozen, ONE, Bound.atMost(0));
            report.figure("old_" + part.text() + "_followed_frozen", frozen, ONE, Bound.atMost(0));
        }
        report.figure("old_parts_followed_cut_off", followed.size() - connected.size(), ONE, Bound.none());
    }

    private static void delays(ConfigRun run, ConfigJudge judge, FigureReport report) {
        List<Arrival> arrivals = run.records().stream()
                .flatMap(r -> r.arrivals(run.endNanos()).stream())
                .toList();
        List<Delay> calm = judge.delays(arrivals, ConfigJudge.ALL);
        report.covered("changes_at_undisturbed_routers", calm.size());
        calm.stream()
                .filter(d -> d.ms() > AIM_MS)
                .sorted(Comparator.comparingDouble(Delay::ms).reversed())
                .limit(MOST_TRACED)
                .forEach(d -> report.note("slow change " + d + " acknowledged "
                        + run.log().wallTime(d.arrival().change().ackNanos())));
        Percentiles whole = new Percentiles(
                calm.stream().filter(Delay::whole).map(Delay::ms).toList());
        report.figure("delay_worst", worst(calm), MS, Bound.atMost(LIMIT_MS));
        report.figure("delay_p99", whole.at(0.99), MS, Bound.none());
        report.figure("delay_p50", whole.at(0.5), MS, Bound.none());
        report.figure(
                "delays_over_aim", calm.stream().filter(d -> d.ms() > AIM_MS).count(), ONE, Bound.none());
        report.figure(
                "delay_worst_with_majority",
                worst(judge.delays(arrivals, ConfigJudge.WITHOUT_MAJORITY)),
                MS,
                Bound.none());
        report.figure(
                "changes_not_seen", arrivals.stream().filter(a -> !a.seen()).count(), ONE, Bound.none());
    }

    private static double worst(List<Delay> delays) {
        return delays.stream().mapToDouble(Delay::ms).max().orElse(Double.NaN);
    }

    private static void answers(ConfigRun run, FigureReport report) {
        Map<String, Integer> answers = new TreeMap<>();
        run.records().forEach(r -> r.answers().forEach((kind, count) -> answers.merge(kind, count, Integer::sum)));
        answers.forEach((kind, count) -> report.figure("answers_" + kind.replace('-', '_'), count, ONE, Bound.none()));
    }

    private static void deliveries(ConfigRun run, FigureReport report) throws IOException, FleetException {
        Deliveries deliveries = new Deliveries();
        for (String router : run.fleet().routers()) {
            deliveries.add(run.fleet().processes().process(router).log());
        }
        deliveries.delaysMs().forEach((delivery, ms) -> {
            Percentiles p = new Percentiles(ms);
            report.figure("applied_by_" + delivery, ms.size(), ONE, Bound.none());
            report.figure("applied_by_" + delivery + "_age_p50", p.at(0.5), MS, Bound.none());
            report.figure("applied_by_" + delivery + "_age_worst", p.at(1), MS, Bound.none());
        });
    }
}
