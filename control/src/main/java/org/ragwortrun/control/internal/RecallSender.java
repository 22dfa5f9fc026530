package org.ragwortrun.control.internal;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.ragwortrun.core.time.Time;
import org.ragwortrun.proto.BudgetRef;
import org.ragwortrun.proto.Frame;
import org.ragwortrun.proto.GrantResult;
import org.ragwortrun.proto.Recall;

/** Asks the holders of a budget's grants to return what they do not use. Used by one thread. */
final class RecallSender {
    // Requests that find a budget held within this time cause only one recall to each holder.
    private static final long MIN_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(50);
    private static final int MAX_TRACKED_BUDGETS = 4_096;

    private final Time time;
    private final Peers peers;
    private final Map<BudgetRef, Long> lastRecallNanos = new HashMap<>();

    RecallSender(Time time, Peers peers) {
        this.time = time;
        this.peers = peers;
    }

    /** Recalls a budget after a grant request has found its tokens held by others. */
    void recall(BudgetRef budget, GrantResult result) {
        long now = time.nanos();
        Long last = lastRecallNanos.get(budget);
        if (last != null && now - last < MIN_INTERVAL_NANOS) {
            return;
        }
        if (lastRecallNanos.size() >= MAX_TRACKED_BUDGETS) {
            lastRecallNanos.values().removeIf(n -> now - n >= MIN_INTERVAL_NANOS);
        }
        lastRecallNanos.put(budget, now);
        Frame recall = Frame.newBuilder()
                .setRecall(Recall.newBuilder().setBudget(budget))
                .build();
        for (String holder : result.getHoldersList()) {
            peers.byIncarnation(holder).ifPresent(p -> p.send(recall));
        }
    }
}
