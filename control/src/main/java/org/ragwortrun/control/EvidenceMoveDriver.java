package org.ragwortrun.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.ragwortrun.core.config.Configuration;
import org.ragwortrun.core.config.Move;
import org.ragwortrun.core.log.Event;
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
 * <p>A completed move is final: operators may have shut down the old version as soon as they learned of it.
 *
 * <p>Evidence is kept only in the leader's memory. A new leader continues each move at the share that is in force and
 * collects evidence from scratch.
 */
public final class EvidenceMoveDriver implements MoveDriver {
    private static final Logger LOG = LogManager.getLogger(EvidenceMoveDriver.class);

    private final Map<Move, VersionMove> moves = new HashMap<>();
    private final Set<Move> suspects = new HashSet<>();

    @Override
    public void reset() {
        moves.clear();
        suspects.clear();
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
        suspects.retainAll(configuration.moves());
        List<MetaCommand.Builder> commands = new ArrayList<>();
        for (Move move : configuration.moves()) {
            MoveProgress before = configuration.progress(move.name()).orElse(MoveProgress.getDefaultInstance());
            switch (before.getState()) {
                case MOVE_TAKEN_BACK -> moves.remove(move);
                case MOVE_DONE -> watchCompleted(move, wallMillis);
                default -> commands.addAll(decide(configuration, move, before, wallMillis));
            }
        }
        return commands;
    }

    /**
     * Reports a completed move whose version has become worse than the old one, for an operator to decide.
     *
     * <p>Only an old version that still has traffic is a measure for the new one. Without it, an outage of a route looks
     * like a fault of the version.
     */
    private void watchCompleted(Move move, long wallMillis) {
        if (!move.keepsOldVersion()) {
            moves.remove(move);
            return;
        }
        MoveDecision decision = judge(move, move.sharePermille(), wallMillis).decide(wallMillis);
        if (decision.state() == MoveState.MOVE_TAKEN_BACK && suspects.add(move)) {
            Event.of("completed-version-suspect")
                    .with("move", move.name())
                    .with("version", move.to())
                    .with("reason", decision.reason())
                    .warn(LOG);
        }
    }

    private VersionMove judge(Move move, int sharePermille, long wallMillis) {
        return moves.computeIfAbsent(move, m -> new SequentialVersionMove(m, sharePermille, wallMillis));
    }

    private List<MetaCommand.Builder> decide(
            Configuration configuration, Move move, MoveProgress before, long wallMillis) {
        if (configuration.isBlocked(move.service(), move.to())) {
            MoveDecision blocked = new MoveDecision(MoveState.MOVE_TAKEN_BACK, 0, "version is blocked");
            return List.of(progress(move, blocked, wallMillis));
        }
        MoveDecision decision =
                judge(move, before.getSharePermille(), wallMillis).decide(wallMillis);
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
