package org.ragwortrun.ledger.internal;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Function;
import org.ragwortrun.proto.MoveState;
import org.ragwortrun.proto.OrderedMove;
import org.ragwortrun.proto.StartMove;
import org.ragwortrun.proto.StartMoveReply;

/** Moves that operators ordered for origins, and the baseline version from which the next move of each origin starts. */
public final class OrderedMoves {
    private final SortedMap<String, String> baselines = new TreeMap<>();
    private final List<OrderedMove> moves = new ArrayList<>();

    /** Returns the name of an ordered move. It differs from every section name. */
    public static String name(String service, String target) {
        return '@' + service + '/' + target;
    }

    /**
     * Starts a move unless it is known or another move of the service is running. A completed move starts again if another
     * version is the baseline by now.
     *
     * @param state returns the state of the move of a name
     */
    public StartMoveReply.Outcome start(StartMove order, long nowMs, Function<String, MoveState> state) {
        String name = name(order.getService(), order.getTarget());
        if (contains(name) && !mayRestart(order, state.apply(name))) {
            return StartMoveReply.Outcome.KNOWN;
        }
        Optional<OrderedMove> running = moves.stream()
                .filter(m -> m.getService().equals(order.getService()))
                .filter(m -> !isEnd(state.apply(name(m.getService(), m.getTarget()))))
                .findFirst();
        if (running.isPresent()) {
            return StartMoveReply.Outcome.BUSY;
        }
        moves.removeIf(m -> name(m.getService(), m.getTarget()).equals(name));
        moves.add(OrderedMove.newBuilder()
                .setService(order.getService())
                .setFrom(baselines.getOrDefault(order.getService(), ""))
                .setTarget(order.getTarget())
                .setStartedMs(nowMs)
                .setDurationMs(order.getDurationMs())
                .build());
        return StartMoveReply.Outcome.STARTED;
    }

    private boolean mayRestart(StartMove order, MoveState state) {
        boolean superseded = !order.getTarget().equals(baselines.get(order.getService()));
        return order.getRestarts() && state == MoveState.MOVE_DONE && superseded;
    }

    /** Returns whether a move in this state has been completed or rolled back. */
    public static boolean isEnd(MoveState state) {
        return state == MoveState.MOVE_DONE || state == MoveState.MOVE_TAKEN_BACK;
    }

    /** Sets the baseline version of an origin unless it has one, and returns whether it was set. */
    public boolean setBaseline(String service, String version) {
        return !version.isEmpty() && baselines.putIfAbsent(service, version) == null;
    }

    /** Makes the target of a completed move the baseline of the next move. */
    public void complete(String move) {
        moves.stream()
                .filter(m -> name(m.getService(), m.getTarget()).equals(move))
                .forEach(m -> baselines.put(m.getService(), m.getTarget()));
    }

    public boolean contains(String move) {
        return moves.stream().anyMatch(m -> name(m.getService(), m.getTarget()).equals(move));
    }

    /** Returns an entry without a target for each baseline, followed by the ordered moves, oldest first. */
    public List<OrderedMove> all() {
        List<OrderedMove> all = new ArrayList<>();
        baselines.forEach((service, version) -> all.add(
                OrderedMove.newBuilder().setService(service).setFrom(version).build()));
        all.addAll(moves);
        return all;
    }

    public void write(SnapshotWriter out) throws IOException {
        out.all(baselines.entrySet(), e -> {
            out.text(e.getKey());
            out.text(e.getValue());
        });
        out.all(moves, out::message);
    }

    public static OrderedMoves read(SnapshotReader in) throws IOException {
        OrderedMoves all = new OrderedMoves();
        in.all(() -> all.baselines.put(in.text(), in.text()));
        in.all(() -> all.moves.add(in.message(OrderedMove.parser())));
        return all;
    }
}
