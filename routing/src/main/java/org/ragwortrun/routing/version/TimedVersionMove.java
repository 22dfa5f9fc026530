package org.ragwortrun.routing.version;

import java.util.Collection;
import org.ragwortrun.core.config.Move;
import org.ragwortrun.proto.EvidenceRow;
import org.ragwortrun.proto.MoveState;

/** Baseline for comparison: increases the share linearly with time and rolls back above a fixed failure rate. */
public final class TimedVersionMove implements VersionMove {
    private static final double FAILURE_LIMIT = 0.05;
    private static final long MIN_REQUESTS = 20;

    private final Move move;
    private long requests;
    private long failures;
    private boolean rolledBack;

    public TimedVersionMove(Move move) {
        this.move = move;
    }

    @Override
    public void observe(Collection<EvidenceRow> rows) {
        rows.stream()
                .filter(r ->
                        r.getService().equals(move.service()) && r.getVersion().equals(move.to()))
                .forEach(r -> {
                    requests += r.getRequests();
                    failures += r.getFailures();
                });
    }

    @Override
    public MoveDecision decide(long nowMillis) {
        rolledBack |= requests >= MIN_REQUESTS && failures > FAILURE_LIMIT * requests;
        if (rolledBack) {
            return new MoveDecision(MoveState.MOVE_TAKEN_BACK, 0, "failure rate above the limit");
        }
        long start = move.start().toEpochMilli();
        long finish = move.finish().toEpochMilli();
        double fraction = Math.max(0, Math.min(1, (double) (nowMillis - start) / Math.max(1, finish - start)));
        int share = (int) Math.round(fraction * move.sharePermille());
        MoveState state = share >= move.sharePermille() ? MoveState.MOVE_DONE : MoveState.MOVE_RUNNING;
        return new MoveDecision(state, share, "rises with time");
    }
}
