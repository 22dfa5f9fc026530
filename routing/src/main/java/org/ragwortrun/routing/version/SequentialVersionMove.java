package org.ragwortrun.routing.version;

import java.time.Instant;
import java.util.Collection;
import java.util.Optional;
import org.ragwortrun.core.config.Move;
import org.ragwortrun.proto.EvidenceRow;
import org.ragwortrun.proto.MoveState;

/**
 * Raises the share of the new version as evidence allows and takes it back on an alarm.
 *
 * <p>The share stays within the trial limit until the evidence of the trial suffices. Monitoring goes on after the finish.
 * When there is too little traffic to reach the target by the finish time, the move is reported late and goes on.
 */
public final class SequentialVersionMove implements VersionMove {
    private static final long INTERVAL_MS = 5_000;
    // Decisions come once a second and must be in force by the finish.
    private static final long VERDICT_MARGIN_MS = 1_500;

    private final Move move;
    private final Comparison comparison;
    private final ExposurePlan plan;
    private long intervalEnd;
    private long began;
    private long stepBegan;
    private long requestsInStep;
    private int step;
    private boolean started;
    private boolean judged;
    private String alarm = "";

    public SequentialVersionMove(Move move) {
        this.move = move;
        comparison = new Comparison(move.service(), move.from(), move.to());
        plan = new ExposurePlan(move.trialPermille(), move.sharePermille());
    }

    /** Continues a move after a leader change at a share that was in force. */
    public SequentialVersionMove(Move move, int sharePermille, long nowMillis) {
        this(move);
        if (sharePermille > 0) {
            begin(nowMillis);
            while (step < plan.last() && plan.share(step + 1) <= sharePermille) {
                step++;
            }
        }
    }

    @Override
    public void observe(Collection<EvidenceRow> rows) {
        requestsInStep += comparison.observe(rows);
    }

    @Override
    public MoveDecision decide(long nowMillis) {
        if (!alarm.isEmpty()) {
            return takenBack();
        }
        boolean atVerdict = !judged && verdictMillis() <= nowMillis;
        if (nowMillis >= intervalEnd || atVerdict) {
            judged |= atVerdict;
            intervalEnd = nowMillis + INTERVAL_MS;
            Optional<String> found = comparison.endInterval();
            if (found.isPresent()) {
                alarm = found.get();
                return takenBack();
            }
        }
        if (nowMillis < move.start().toEpochMilli()) {
            return new MoveDecision(MoveState.MOVE_RUNNING, 0, "waits for its start time");
        }
        if (!started) {
            begin(nowMillis);
        }
        long left = Math.max(0, verdictMillis() - nowMillis);
        if (step < plan.last() && mayRise(nowMillis)) {
            step++;
            stepBegan = nowMillis;
            requestsInStep = 0;
        }
        return standing(left);
    }

    private boolean mayRise(long nowMillis) {
        long begin = Math.max(began, move.start().toEpochMilli());
        long duration = finishMillis() == Long.MAX_VALUE ? Long.MAX_VALUE : finishMillis() - begin;
        return !comparison.isSuspicious()
                && !comparison.isOutage()
                && plan.mayRise(step, requestsInStep, nowMillis - stepBegan, nowMillis - began, duration);
    }

    private MoveDecision standing(long leftMs) {
        int share = plan.share(step);
        if (step == plan.last()) {
            return new MoveDecision(MoveState.MOVE_DONE, share, "target share reached, still watched");
        }
        if (leftMs == 0 && comparison.isSuspicious()) {
            // Nobody may be on duty to decide, and the old version still serves.
            alarm = "not shown to be good by the finish time";
            return takenBack();
        }
        if (leftMs == 0) {
            return new MoveDecision(MoveState.MOVE_LATE, share, "too little traffic to judge the version in time");
        }
        return new MoveDecision(MoveState.MOVE_RUNNING, share, "gathers evidence");
    }

    /** A move without a finish time may take as long as the evidence needs. */
    private long finishMillis() {
        return move.finish().equals(Instant.MAX)
                ? Long.MAX_VALUE
                : move.finish().toEpochMilli();
    }

    /** Returns when the evidence is judged for the finish time. */
    private long verdictMillis() {
        return finishMillis() == Long.MAX_VALUE ? Long.MAX_VALUE : finishMillis() - VERDICT_MARGIN_MS;
    }

    private MoveDecision takenBack() {
        return new MoveDecision(MoveState.MOVE_TAKEN_BACK, 0, alarm);
    }

    private void begin(long nowMillis) {
        started = true;
        began = nowMillis;
        stepBegan = nowMillis;
    }
}
