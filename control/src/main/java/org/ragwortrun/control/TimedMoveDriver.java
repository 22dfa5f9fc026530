package org.ragwortrun.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.ragwortrun.core.config.Configuration;
import org.ragwortrun.core.config.Move;
import org.ragwortrun.proto.CrashReport;
import org.ragwortrun.proto.Evidence;
import org.ragwortrun.proto.Hello;
import org.ragwortrun.proto.MetaCommand;
import org.ragwortrun.proto.MoveProgress;
import org.ragwortrun.proto.MoveState;

/**
 * Raises the share of a running move in steps, by time only.
 *
 * <p>It ignores evidence: a failing version keeps receiving traffic until it is blocked by other means. A move stays at
 * its trial share for the first quarter of its duration, then rises to the target share in ten equal steps within the
 * following half.
 */
public final class TimedMoveDriver implements MoveDriver {
    private static final int STEPS = 10;
    private static final double TRIAL_FRACTION = 0.25;
    private static final double RAMP_FRACTION = 0.5;

    @Override
    public void reset() {
        // no evidence to discard
    }

    @Override
    public void onEvidence(Hello reporter, Evidence evidence) {
        // time alone decides
    }

    @Override
    public void onCrash(Hello reporter, CrashReport report) {
        // time alone decides
    }

    @Override
    public List<MetaCommand.Builder> decide(Configuration configuration, long wallMillis) {
        List<MetaCommand.Builder> commands = new ArrayList<>();
        for (Move move : configuration.moves()) {
            nextProgress(configuration, move, wallMillis)
                    .ifPresent(p -> commands.add(MetaCommand.newBuilder()
                            .setUndecidedMove(p.getMove())
                            .setMoveProgress(p)));
        }
        return commands;
    }

    private static Optional<MoveProgress> nextProgress(Configuration configuration, Move move, long wallMillis) {
        MoveProgress before = configuration.progress(move.name()).orElse(MoveProgress.getDefaultInstance());
        boolean ended = before.getState() == MoveState.MOVE_DONE || before.getState() == MoveState.MOVE_TAKEN_BACK;
        if (ended || wallMillis < move.start().toEpochMilli()) {
            return Optional.empty();
        }
        if (configuration.isBlocked(move.service(), move.to())) {
            return Optional.of(progress(move, 0, MoveState.MOVE_TAKEN_BACK, "version is blocked", wallMillis));
        }
        int share = Math.max(before.getSharePermille(), scheduledShare(move, wallMillis));
        boolean done = share >= move.sharePermille();
        if (share == before.getSharePermille() && !done && before.getState() == MoveState.MOVE_RUNNING) {
            return Optional.empty();
        }
        MoveState state = done ? MoveState.MOVE_DONE : MoveState.MOVE_RUNNING;
        return Optional.of(progress(move, share, state, "by time", wallMillis));
    }

    private static int scheduledShare(Move move, long wallMillis) {
        double start = move.start().toEpochMilli();
        double length = Math.max(1, move.finish().toEpochMilli() - start);
        double rampProgress = ((wallMillis - start) / length - TRIAL_FRACTION) / RAMP_FRACTION;
        int trial = Math.min(move.trialPermille(), move.sharePermille());
        if (rampProgress < 0) {
            return trial;
        }
        int step = Math.min(STEPS, 1 + (int) (rampProgress * STEPS));
        return trial + (move.sharePermille() - trial) * step / STEPS;
    }

    private static MoveProgress progress(Move move, int share, MoveState state, String reason, long wallMillis) {
        return MoveProgress.newBuilder()
                .setMove(move.name())
                .setSharePermille(share)
                .setState(state)
                .setReason(reason)
                .setAtMs(wallMillis)
                .build();
    }
}
