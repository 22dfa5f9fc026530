package org.ragwortrun.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.ragwortrun.core.config.Configuration;
import org.ragwortrun.core.config.Move;
import org.ragwortrun.proto.CrashReport;
import org.ragwortrun.proto.Evidence;
import org.ragwortrun.proto.Hello;
import org.ragwortrun.proto.MetaCommand;
import org.ragwortrun.proto.MoveProgress;
import org.ragwortrun.proto.MoveState;
import org.ragwortrun.proto.VersionDecision;
import org.ragwortrun.routing.version.MoveDecision;
import org.ragwortrun.routing.version.VersionMove;

/**
 * Drives each move by the evidence of the fleet.
 *
 * <p>A version that is taken back is blocked by a durable verdict. Moves are watched as long as they stand in the
 * configuration, also after they are done. Crashes of single requests are no evidence against a version.
 */
public final class EvidenceMoveDriver implements MoveDriver {
    private final Factory factory;
    private final Map<Move, VersionMove> moves = new HashMap<>();

    public EvidenceMoveDriver(Factory factory) {
        this.factory = factory;
    }

    @Override
    public void reset() {
        moves.clear();
    }

    @Override
    public void onEvidence(Hello reporter, Evidence evidence) {
        moves.values().forEach(m -> m.observe(evidence.getRowsList()));
    }

    @Override
    public void onCrash(Hello reporter, CrashReport report) {
        // the meta group counts crashes by request
    }

    @Override
    public List<MetaCommand.Builder> decide(Configuration configuration, long wallMillis) {
        Set<Move> current = configuration.moves().stream().collect(Collectors.toSet());
        moves.keySet().retainAll(current);
        List<MetaCommand.Builder> commands = new ArrayList<>();
        for (Move move : current) {
            decide(configuration, move, wallMillis, commands);
        }
        return commands;
    }

    private void decide(Configuration configuration, Move move, long wallMillis, List<MetaCommand.Builder> commands) {
        MoveProgress before = configuration.progress(move.name()).orElse(MoveProgress.getDefaultInstance());
        if (before.getState() == MoveState.MOVE_TAKEN_BACK
                || wallMillis < move.start().toEpochMilli()) {
            return;
        }
        MoveDecision decision = configuration.isBlocked(move.service(), move.to())
                ? new MoveDecision(MoveState.MOVE_TAKEN_BACK, 0, "the version is blocked")
                : moves.computeIfAbsent(move, m -> factory.create(m, before.getSharePermille(), wallMillis))
                        .decide(wallMillis);
        if (decision.state() == before.getState() && decision.sharePermille() == before.getSharePermille()) {
            return;
        }
        if (decision.state() == MoveState.MOVE_TAKEN_BACK) {
            commands.add(MetaCommand.newBuilder()
                    .setVersionDecision(VersionDecision.newBuilder()
                            .setService(move.service())
                            .setVersion(move.to())
                            .setBlocked(true)
                            .setReason(decision.reason())
                            .setAtMs(wallMillis)));
        }
        commands.add(MetaCommand.newBuilder()
                .setMoveProgress(MoveProgress.newBuilder()
                        .setMove(move.name())
                        .setSharePermille(decision.sharePermille())
                        .setState(decision.state())
                        .setReason(decision.reason())
                        .setAtMs(wallMillis)));
    }

    /** Creates the decisions of one move. */
    @FunctionalInterface
    public interface Factory {
        /**
         * Creates or continues a move.
         *
         * @param sharePermille share that is in force, 0 if the move has not begun
         * @param wallMillis wall-clock time
         */
        VersionMove create(Move move, int sharePermille, long wallMillis);
    }
}
