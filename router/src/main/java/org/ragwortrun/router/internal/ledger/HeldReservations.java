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
 * <p>Each run asks the shards about a part of them. One that was billed, or that is known not to have run, is ended; the
 * others stay open until the session ends.
 */
public final class HeldReservations implements Runnable {
    private static final Duration TIMEOUT = Duration.ofSeconds(1);
    private static final int PART = 64;

    private final ControlClient control;
    private final Shards shards;
    private final Map<Long, Held> all = new ConcurrentHashMap<>();
    private long next;

    public HeldReservations(ControlClient control, Shards shards) {
        this.control = control;
        this.shards = shards;
    }

    /** Adds a reservation that is ended when its bill becomes known. */
    void add(BudgetRef budget, String requestId, Reservation reservation) {
        synchronized (this) {
            all.put(next++, new Held(budget, requestId, reservation));
        }
    }

    int size() {
        return all.size();
    }

    @Override
    public void run() {
        // The first are asked about first; those without an answer go to the end.
        all.keySet().stream().sorted().limit(PART).toList().forEach(this::ask);
    }

    private void ask(long id) {
        Held held = all.remove(id);
        if (held == null) {
            return;
        }
        int group = shards.of(held.budget());
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
                    && end(held, reply.getShardReply().getExplanation());
            if (!ended) {
                add(held.budget(), held.requestId(), held.reservation());
            }
        });
    }

    private static boolean end(Held held, Explanation explanation) {
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
