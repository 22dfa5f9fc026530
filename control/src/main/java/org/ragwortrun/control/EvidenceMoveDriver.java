package org.ragwortrun.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
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
import org.ragwortrun.routing.version.SequentialVersionMove;
import org.ragwortrun.routing.version.VersionMove;

/**
 * Controls moves by the evidence that daemons report, and blocks a version whose move is rolled back.
 *
 * <p>Evidence is kept only in the leader's memory. A new leader continues each move at the share that is in force and
 * collects evidence from scratch.
 */
public final class EvidenceMoveDriver implements MoveDriver {
    private final Map<Move, VersionMove> moves = new HashMap<>();

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
        // A request that crashes endpoints says nothing about the version.
    }

    @Override
    public List<MetaCommand.Builder> decide(Configuration configuration, long wallMillis) {
        moves.keySet().retainAll(configuration.moves());
        List<MetaCommand.Builder> commands = new ArrayList<>();
        for (Move move : configuration.moves()) {
            MoveProgress before = configuration.progress(move.name()).orElse(MoveProgress.getDefaultInstance());
            if (before.getState() != MoveState.MOVE_TAKEN_BACK) {
                commands.addAll(decide(configuration, move, before, wallMillis));
            }
        }
        return commands;
    }

    private List<MetaCommand.Builder> decide(
            Configuration configuration, Move move, MoveProgress before, long wallMillis) {
        if (configuration.isBlocked(move.service(), move.to())) {
            MoveDecision blocked = new MoveDecision(MoveState.MOVE_TAKEN_BACK, 0, "version is blocked");
            return List.of(progress(move, blocked, wallMillis));
        }
        MoveDecision decision = moves.computeIfAbsent(
                        move, m -> new SequentialVersionMove(m, before.getSharePermille(), wallMillis))
                .decide(wallMillis);
        if (decision.state() == MoveState.MOVE_TAKEN_BACK) {
            return List.of(blockVersion(move, decision, wallMillis), progress(move, decision, wallMillis));
        }
        boolean changed =
                decision.state() != before.getState() || decision.sharePermille() != before.getSharePermille();
        // A move that waits for its start time has no progress yet.
        boolean waiting = decision.sharePermille() == 0;
        return changed && !waiting ? List.of(progress(move, decision, wallMillis)) : List.of();
    }

    private static MetaCommand.Builder progress(Move move, MoveDecision decision, long wallMillis) {
        return MetaCommand.newBuilder()
                .setUndecidedMove(move.name())
                .setMoveProgress(MoveProgress.newBuilder()
                        .setMove(move.name())
                        .setSharePermille(decision.sharePermille())
                        .setState(decision.state())
                        .setReason(decision.reason())
                        .setAtMs(wallMillis));
    }

    private static MetaCommand.Builder blockVersion(Move move, MoveDecision decision, long wallMillis) {
        return MetaCommand.newBuilder()
                .setUndecidedMove(move.name())
                .setVersionDecision(VersionDecision.newBuilder()
                        .setService(move.service())
                        .setVersion(move.to())
                        .setBlocked(true)
                        .setReason(decision.reason())
                        .setAtMs(wallMillis));
    }
}
