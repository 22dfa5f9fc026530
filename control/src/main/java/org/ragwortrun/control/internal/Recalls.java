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
final class Recalls {
    // Many requests that find a budget held within this time cause one recall to each holder.
    private static final long PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(50);
    private static final int MAX_REMEMBERED = 4_096;

    private final Time time;
    private final Peers peers;
    private final Map<BudgetRef, Long> lastNanos = new HashMap<>();

    Recalls(Time time, Peers peers) {
        this.time = time;
        this.peers = peers;
    }

    /** Recalls a budget after a request for a grant found it held. */
    void onResult(BudgetRef budget, GrantResult result) {
        long now = time.nanos();
        Long last = lastNanos.get(budget);
        if (last != null && now - last < PAUSE_NANOS) {
            return;
        }
        if (lastNanos.size() >= MAX_REMEMBERED) {
            lastNanos.values().removeIf(n -> now - n >= PAUSE_NANOS);
        }
        lastNanos.put(budget, now);
        Frame recall = Frame.newBuilder()
                .setRecall(Recall.newBuilder().setBudget(budget))
                .build();
        for (String holder : result.getHoldersList()) {
            peers.byIncarnation(holder).ifPresent(p -> p.send(recall));
        }
    }
}
