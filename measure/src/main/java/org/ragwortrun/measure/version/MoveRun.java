package org.ragwortrun.measure.version;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import org.ragwortrun.core.config.Move;
import org.ragwortrun.proto.EvidenceRow;
import org.ragwortrun.proto.MoveState;
import org.ragwortrun.routing.version.MoveDecision;
import org.ragwortrun.routing.version.VersionMove;

/** Runs one generated move second by second against a decision class. */
final class MoveRun {
    private static final long MILLIS = 1_000;
    // The old version has served for half an hour before the move begins.
    private static final long HISTORY_S = 1_800;

    private final Move move;
    private final GeneratedVersion version;
    private final Traffic traffic;
    private final UniformRandomProvider rng;
    private final long durationSeconds;
    private final long watchSeconds;
    private long received;
    private long total;
    private long shown;
    private long firstShown = -1;

    MoveRun(
            Move move,
            GeneratedVersion version,
            Traffic traffic,
            UniformRandomProvider rng,
            long durationSeconds,
            long watchSeconds) {
        this.move = move;
        this.version = version;
        this.traffic = traffic;
        this.rng = rng;
        this.durationSeconds = durationSeconds;
        this.watchSeconds = watchSeconds;
    }

    MoveOutcome run(VersionMove decisions) {
        return run(decisions, (second, share, faults) -> {});
    }

    /** Runs the move and tells the observer each second of it. */
    MoveOutcome run(VersionMove decisions, Observer observer) {
        for (long second = -HISTORY_S; second < durationSeconds + watchSeconds; second++) {
            MoveDecision decision = decisions.decide(move.start().toEpochMilli() + second * MILLIS);
            if (second >= 0) {
                observer.second(second, decision.sharePermille(), shown);
            }
            if (decision.state() == MoveState.MOVE_TAKEN_BACK) {
                double delay = firstShown < 0 ? 0 : second - firstShown;
                return new MoveOutcome(false, true, shown, received, total, delay, decision.reason());
            }
            if (decision.state() == MoveState.MOVE_DONE) {
                // The control leader acts on no evidence about a completed move.
                return new MoveOutcome(second <= durationSeconds, false, shown, received, total, Double.NaN, "");
            }
            decisions.observe(second(second, decision.sharePermille()));
        }
        return new MoveOutcome(false, false, shown, received, total, Double.NaN, "");
    }

    private List<EvidenceRow> second(long second, int sharePermille) {
        Map<String, EvidenceRow.Builder> rows = new HashMap<>();
        int arrivals = traffic.arrivals(second);
        int band = traffic.loadBand(second);
        for (int i = 0; i < arrivals; i++) {
            boolean newer = rng.nextInt(1000) < sharePermille;
            int route = traffic.route();
            String name = newer ? move.to() : move.from();
            EvidenceRow.Builder row = rows.computeIfAbsent(
                    name + route,
                    k -> EvidenceRow.newBuilder()
                            .setService(move.service())
                            .setVersion(name)
                            .setRoute(Traffic.ROUTES[route])
                            .setLoadBand(band));
            request(row, second, newer, route, band);
        }
        List<EvidenceRow> built = new ArrayList<>();
        rows.values().forEach(r -> built.add(r.build()));
        return built;
    }

    private void request(EvidenceRow.Builder row, long second, boolean newer, int route, int band) {
        boolean fault = newer && version.shows((double) second / durationSeconds, band, route);
        if (second >= 0) {
            total++;
        }
        if (newer) {
            received++;
        }
        if (fault) {
            shown++;
            firstShown = firstShown < 0 ? second : firstShown;
        }
        boolean failed = traffic.healthyFails() || fault && rng.nextDouble() < version.failureRate();
        row.setRequests(row.getRequests() + 1);
        if (failed) {
            row.setFailures(row.getFailures() + 1);
            return;
        }
        double log = traffic.logLatency(second, route) + (fault ? Math.log(version.slowdown()) : 0);
        row.setLatencyCount(row.getLatencyCount() + 1)
                .setLogLatencySum(row.getLogLatencySum() + log)
                .setLogLatencySquareSum(row.getLogLatencySquareSum() + log * log);
    }

    /** Hears the share and the requests that have met the fault so far. */
    @FunctionalInterface
    interface Observer {
        void second(long second, int sharePermille, long shown);
    }
}
