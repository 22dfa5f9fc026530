package org.ragwortrun.router.internal.ledger;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.ragwortrun.net.control.ControlClient;
import org.ragwortrun.proto.BudgetRef;
import org.ragwortrun.proto.ExplainQuery;
import org.ragwortrun.proto.Explanation;
import org.ragwortrun.proto.Frame;
import org.ragwortrun.proto.RunState;
import org.ragwortrun.proto.ShardRequest;

/**
 * Reservations whose bill is not known, for example because an agent was lost.
 *
 * <p>Each run queries the shards for one batch of them. A reservation is ended once its request has been billed or is
 * known not to have run; the others stay open until the session ends.
 */
public final class HeldReservations implements Runnable {
    private static final Duration TIMEOUT = Duration.ofSeconds(1);
    private static final int BATCH_SIZE = 64;

    private final ControlClient control;
    private final Shards shards;
    private final Map<Long, Held> reservations = new ConcurrentHashMap<>();
    private long nextId;

    public HeldReservations(ControlClient control, Shards shards) {
        this.control = control;
        this.shards = shards;
    }

    /** Adds a reservation that is ended when its bill becomes known. */
    void add(BudgetRef budget, String requestId, Reservation reservation) {
        synchronized (this) {
            reservations.put(nextId++, new Held(budget, requestId, reservation));
        }
    }

    int size() {
        return reservations.size();
    }

    @Override
    public void run() {
        // Oldest first. Reservations that stay open get a new id, which puts them at the end.
        reservations.keySet().stream().sorted().limit(BATCH_SIZE).toList().forEach(this::query);
    }

    private void query(long id) {
        Held held = reservations.remove(id);
        if (held == null) {
            return;
        }
        int group = shards.groupOf(held.budget());
        ExplainQuery query = ExplainQuery.newBuilder()
                .setAccount(held.budget().getAccount())
                .setRequestId(held.requestId())
                .build();
        Frame.Builder frame = Frame.newBuilder()
                .setShardRequest(ShardRequest.newBuilder().setGroup(group).setExplain(query));
        control.call(group, frame, TIMEOUT).whenComplete((reply, failure) -> {
            boolean ended = reply != null
                    && reply.hasShardReply()
                    && reply.getShardReply().hasExplanation()
                    && tryEnd(held, reply.getShardReply().getExplanation());
            if (!ended) {
                add(held.budget(), held.requestId(), held.reservation());
            }
        });
    }

    private static boolean tryEnd(Held held, Explanation explanation) {
        if (explanation.getKnown() && explanation.hasUsage()) {
            boolean own = explanation
                    .getUsage()
                    .getGrantId()
                    .equals(held.reservation().grantId());
            held.reservation().settle(own ? explanation.getUsage().getTokens() : 0);
            return true;
        }
        if (explanation.getKnown() && explanation.getRun() == RunState.RUN_NOT_RUN) {
            held.reservation().release();
            return true;
        }
        return false;
    }

    private record Held(BudgetRef budget, String requestId, Reservation reservation) {}
}
