package org.ragwortrun.measure.version;

import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.HdrHistogram.Histogram;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.ragwortrun.core.config.Move;
import org.ragwortrun.measure.Bound;
import org.ragwortrun.measure.FigureReport;
import org.ragwortrun.measure.Measurement;
import org.ragwortrun.measure.MeasurementException;
import org.ragwortrun.routing.version.SequentialVersionMove;
import org.ragwortrun.routing.version.TimedVersionMove;
import org.ragwortrun.routing.version.VersionMove;

/** Good versions completed in time and bad versions taken back, beside the naive move in the same run. */
public final class VersionsMeasurement implements Measurement {
    private static final int GOOD_MOVES = 200;
    private static final int MOVES_PER_FAULT = 30;
    private static final int TRIAL_PERMILLE = 50;
    private static final long[] DURATIONS_S = {1_800, 3_600, 7_200};
    // An old version can be restored for four hours after the finish.
    private static final long WATCH_S = 14_400;
    // Requests per second of a service: night, quiet, ordinary, busy.
    private static final double[] RATES = {0.2, 1, 5, 20};
    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
    // 99 in 100 is the stated target for both kinds of versions.
    private static final double TARGET = 0.99;

    @Override
    public void run(long seed, Map<String, String> options, FigureReport report) throws MeasurementException {
        String plot = options.getOrDefault("plot", "");
        if (!plot.isEmpty()) {
            plot(seed, Path.of(plot));
            report.note("plot written");
        }
        Tally sequential = tally(seed, SequentialVersionMove::new, report, "sequential");
        Tally naive = tally(seed, TimedVersionMove::new, report, "naive");
        report.covered("good_moves", sequential.good);
        report.covered("bad_moves", sequential.bad);
        figures(report, "", sequential, Bound.atLeast(TARGET));
        figures(report, "naive_", naive, Bound.none());
        report.figure(
                "bad_version_share_of_trial_faults",
                sequential.trialShare(),
                "1",
                Bound.atMost(TRIAL_PERMILLE / 1000.0));
    }

    /** Draws one move to a version whose fault begins late. */
    private static void plot(long seed, Path file) throws MeasurementException {
        UniformRandomProvider rng = RandomSource.SPLIT_MIX_64.create(seed);
        long duration = DURATIONS_S[0];
        Move move = new Move("move", "service", "old", "new", 1000, TRIAL_PERMILLE, START, START.plusSeconds(duration));
        GeneratedVersion version = new GeneratedVersion(FaultKind.FAILS_LATE, 0.3, 1, 0.25, 0);
        MovePlot plot = new MovePlot();
        MoveOutcome outcome = new MoveRun(move, version, new Traffic(rng, 20), rng, duration, WATCH_S)
                .run(new SequentialVersionMove(move), plot::add);
        plot.write(file, "A version that begins to fail 30 % of requests after 7.5 min: " + outcome.reason());
    }

    private static void figures(FigureReport report, String prefix, Tally tally, Bound target) {
        report.figure(prefix + "good_in_time", tally.goodShare(), "1", target);
        report.figure(prefix + "bad_taken_back", tally.badShare(), "1", target);
        report.figure(prefix + "detection_p50", tally.detection.getValueAtPercentile(50), "s", Bound.none());
        report.figure(prefix + "detection_p95", tally.detection.getValueAtPercentile(95), "s", Bound.none());
        report.figure(prefix + "bad_requests_mean", tally.badRequestsMean(), "1", Bound.none());
        report.figure(prefix + "bad_requests_max", tally.badRequestsMax, "1", Bound.none());
    }

    private static Tally tally(long seed, Function<Move, VersionMove> decisions, FigureReport report, String name) {
        Tally tally = new Tally();
        for (FaultKind kind : FaultKind.values()) {
            int moves = kind == FaultKind.NONE ? GOOD_MOVES : MOVES_PER_FAULT;
            List<String> missed = new ArrayList<>();
            for (int i = 0; i < moves; i++) {
                // Both decision classes meet the same versions and arrivals.
                UniformRandomProvider rng =
                        RandomSource.SPLIT_MIX_64.create(seed * 1_000_003 + kind.ordinal() * 1_000L + i);
                long duration = DURATIONS_S[rng.nextInt(DURATIONS_S.length)];
                double rate = RATES[rng.nextInt(RATES.length)];
                GeneratedVersion version = GeneratedVersion.random(kind, Traffic.ROUTES.length, rng);
                Move move = new Move(
                        "move", "service", "old", "new", 1000, TRIAL_PERMILLE, START, START.plusSeconds(duration));
                MoveOutcome outcome = new MoveRun(move, version, new Traffic(rng, rate), rng, duration, WATCH_S)
                        .run(decisions.apply(move));
                if (!tally.add(kind, outcome)) {
                    missed.add("rate " + rate + " duration " + duration + " " + version + " " + outcome);
                }
            }
            report.note(name + " " + kind + " moves=" + moves + " missed=" + missed.size());
            missed.forEach(m -> report.note("  " + m));
        }
        return tally;
    }

    /** Sums over all moves of one decision class. */
    private static final class Tally {
        private final Histogram detection = new Histogram(1_000_000, 3);
        private long good;
        private long goodInTime;
        private long bad;
        private long badTakenBack;
        private long badRequests;
        private long badRequestsMax;
        private long trialReceived;
        private long trialTotal;

        /** Adds a move and returns whether it ended as it should. */
        boolean add(FaultKind kind, MoveOutcome o) {
            if (kind == FaultKind.NONE) {
                good++;
                boolean met = o.doneInTime() && !o.takenBack();
                goodInTime += met ? 1 : 0;
                return met;
            }
            bad++;
            badTakenBack += o.takenBack() ? 1 : 0;
            badRequests += o.shown();
            badRequestsMax = Math.max(badRequestsMax, o.shown());
            if (o.takenBack()) {
                detection.recordValue((long) o.detectionSeconds());
            }
            if (kind == FaultKind.FAILS_AT_ONCE || kind == FaultKind.SLOW_AT_ONCE) {
                trialReceived += o.received();
                trialTotal += o.total();
            }
            return o.takenBack();
        }

        double goodShare() {
            return (double) goodInTime / good;
        }

        double badShare() {
            return (double) badTakenBack / bad;
        }

        double badRequestsMean() {
            return (double) badRequests / bad;
        }

        double trialShare() {
            return (double) trialReceived / trialTotal;
        }
    }
}
