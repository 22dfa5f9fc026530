package org.ragwortrun.routing.version;

import java.time.Instant;
import java.util.Collection;
import java.util.Optional;
import org.ragwortrun.core.config.Move;
import org.ragwortrun.proto.EvidenceRow;
import org.ragwortrun.proto.MoveState;

/**
 * Increases the share of the new version as the evidence allows and rolls it back on an alarm.
 *
 * <p>The share stays within the trial limit until the evidence of the trial suffices. At the target share the version is
 * watched until shortly before the finish time, because completion is final. With too little traffic to reach the target
 * by then, the move is late and continues.
 */
public final class SequentialVersionMove implements VersionMove {
    private static final long INTERVAL_MS = 5_000;
    // Decisions are made once a second and must take effect by the finish. Longer moves leave time for a new leader.
    private static final long MIN_DECISION_MARGIN_MS = 1_500;
    private static final long MAX_DECISION_MARGIN_MS = 10_000;
    private static final double DECISION_MARGIN_FRACTION = 0.05;
    // A move without a finish time is watched at its target share for as long as at any other share.
    private static final long OPEN_ENDED_WATCH_MS = 10_000;

    private final Move move;
    private final Comparison comparison;
    private final ExposurePlan plan;
    private long intervalEndMillis;
    private long startedMillis;
    private long stepStartedMillis;
    private long requestsInStep;
    private int step;
    private boolean started;
    private boolean checkedAtDeadline;
    private boolean completed;
    private String rollbackReason = "";

    public SequentialVersionMove(Move move) {
        this.move = move;
        comparison = new Comparison(move.service(), move.from(), move.to());
        plan = new ExposurePlan(move.trialPermille(), move.sharePermille());
    }

    /** Resumes a move after a leader change, at the share that was in effect. */
    public SequentialVersionMove(Move move, int sharePermille, long nowMillis) {
        this(move);
        if (sharePermille > 0) {
            start(nowMillis);
            while (step < plan.lastStep() && plan.share(step + 1) <= sharePermille) {
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
        if (!rollbackReason.isEmpty()) {
            return rolledBack();
        }
        boolean atDeadline = !checkedAtDeadline && decisionDeadlineMillis() <= nowMillis;
        if (nowMillis >= intervalEndMillis || atDeadline) {
            checkedAtDeadline |= atDeadline;
            intervalEndMillis = nowMillis + INTERVAL_MS;
            Optional<String> reason = comparison.endInterval();
            if (reason.isPresent()) {
                rollbackReason = reason.get();
                return rolledBack();
            }
        }
        if (nowMillis < move.start().toEpochMilli()) {
            return new MoveDecision(MoveState.MOVE_RUNNING, 0, "waits for its start time");
        }
        if (!started) {
            start(nowMillis);
        }
        long left = Math.max(0, decisionDeadlineMillis() - nowMillis);
        if (step < plan.lastStep() && mayAdvance(nowMillis)) {
            step++;
            stepStartedMillis = nowMillis;
            requestsInStep = 0;
        }
        return currentDecision(left, nowMillis);
    }

    private boolean mayAdvance(long nowMillis) {
        long start = Math.max(startedMillis, move.start().toEpochMilli());
        long duration = finishMillis() == Long.MAX_VALUE ? Long.MAX_VALUE : finishMillis() - start;
        return !comparison.isSuspicious()
                && !comparison.isOutage()
                && plan.mayAdvance(
                        step, requestsInStep, nowMillis - stepStartedMillis, nowMillis - startedMillis, duration);
    }

    private MoveDecision currentDecision(long leftMs, long nowMillis) {
        int share = plan.share(step);
        if (leftMs == 0 && !completed && comparison.isSuspicious()) {
            // There may be no operator to decide, and the old version is still in service.
            rollbackReason = "not shown to be good by the finish time";
            return rolledBack();
        }
        if (step == plan.lastStep()) {
            completed |= leftMs == 0 || mayEndOpenEnded(nowMillis);
            return completed
                    ? new MoveDecision(MoveState.MOVE_DONE, share, "target share reached")
                    : new MoveDecision(MoveState.MOVE_RUNNING, share, "watched at the target share");
        }
        if (leftMs == 0) {
            return new MoveDecision(MoveState.MOVE_LATE, share, "too little traffic to judge the version in time");
        }
        return new MoveDecision(MoveState.MOVE_RUNNING, share, "gathers evidence");
    }

    private boolean mayEndOpenEnded(long nowMillis) {
        return finishMillis() == Long.MAX_VALUE
                && nowMillis - stepStartedMillis >= OPEN_ENDED_WATCH_MS
                && !comparison.isSuspicious();
    }

    /** Returns the finish time, or {@code Long.MAX_VALUE} if the move has none and may take as long as it needs. */
    private long finishMillis() {
        return move.finish().equals(Instant.MAX)
                ? Long.MAX_VALUE
                : move.finish().toEpochMilli();
    }

    /** Returns the latest time for a decision that must take effect by the finish time. */
    private long decisionDeadlineMillis() {
        if (finishMillis() == Long.MAX_VALUE) {
            return Long.MAX_VALUE;
        }
        double fraction =
                DECISION_MARGIN_FRACTION * (finishMillis() - move.start().toEpochMilli());
        long margin = Math.max(MIN_DECISION_MARGIN_MS, Math.min(MAX_DECISION_MARGIN_MS, (long) fraction));
        return finishMillis() - margin;
    }

    private MoveDecision rolledBack() {
        return new MoveDecision(MoveState.MOVE_TAKEN_BACK, 0, rollbackReason);
    }

    private void start(long nowMillis) {
        started = true;
        startedMillis = nowMillis;
        stepStartedMillis = nowMillis;
    }
}
