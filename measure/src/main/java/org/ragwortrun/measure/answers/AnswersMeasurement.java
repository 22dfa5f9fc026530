package org.ragwortrun.measure.answers;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import org.ragwortrun.measure.Bound;
import org.ragwortrun.measure.FigureReport;
import org.ragwortrun.measure.Measurement;
import org.ragwortrun.measure.MeasurementException;
import org.ragwortrun.measure.fleet.FleetException;

/** What callers of forwarding routers get while endpoints answer twice, cut their answers and garble them. */
public final class AnswersMeasurement implements Measurement {
    private static final String DEFAULT_SECONDS = "20";
    private static final int MOST_TRACED = 20;

    @Override
    public void run(long seed, Map<String, String> options, FigureReport report) throws MeasurementException {
        try (AnswersRun run = new AnswersRun(seed)) {
            run.play(Integer.parseInt(options.getOrDefault("seconds", DEFAULT_SECONDS)));
            AnswerChecks checks = new AnswerChecks(run.endpoints(), run.callers());
            List<Violation> violations = checks.violations();
            trace(run, violations, report);
            figures(run, violations, report);
            report.figure("undetectable_garbled", checks.undetectable(), "1", Bound.none());
        } catch (FleetException | IOException e) {
            throw new MeasurementException("the run failed", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new MeasurementException("interrupted", e);
        }
    }

    private static void trace(AnswersRun run, List<Violation> violations, FigureReport report) throws IOException {
        for (Violation v : violations.stream().limit(MOST_TRACED).toList()) {
            report.note("violation " + v);
            run.logLines(v.id()).forEach(l -> report.note("  " + l));
        }
    }

    private static void figures(AnswersRun run, List<Violation> violations, FigureReport report) {
        List<SeenAnswer> seen = run.callers().seen();
        report.covered("answers", seen.size());
        run.endpoints().extras().forEach((time, count) -> report.covered(time, count.sum()));
        for (String rule : AnswerChecks.RULES) {
            long count = violations.stream().filter(v -> v.rule().equals(rule)).count();
            report.figure(rule, count, "1", Bound.atMost(0));
        }
        double sent = run.callers().sent().size();
        report.figure("requests", sent, "1", Bound.none());
        report.figure(
                "served", seen.stream().filter(a -> a.isSuccess() && a.whole()).count() / sent, "1", Bound.none());
        report.figure("failed", seen.stream().filter(a -> !a.isSuccess()).count() / sent, "1", Bound.none());
        report.figure("cut", seen.stream().filter(a -> !a.whole()).count(), "1", Bound.none());
        report.figure(
                "waited_until_limit",
                seen.stream().filter(a -> a.status() == 504).count(),
                "1",
                Bound.none());
        report.figure("callers_left", run.callers().left(), "1", Bound.none());
        report.figure("silent_connections", run.callers().silent(), "1", Bound.none());
    }
}
