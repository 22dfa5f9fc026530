package org.ragwortrun.control.internal;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jspecify.annotations.Nullable;
import org.ragwortrun.core.concurrent.Causes;
import org.ragwortrun.core.log.Event;
import org.ragwortrun.core.time.Time;
import org.ragwortrun.proto.ApplyTopUps;
import org.ragwortrun.proto.BudgetRef;
import org.ragwortrun.proto.ShardCommand;
import org.ragwortrun.proto.ShardResult;
import org.ragwortrun.proto.TopUp;

/**
 * Applies the top-ups of accepted configurations to one shard.
 *
 * <p>The shard's leader reads them from its own replica of the meta group, which contains committed entries only, and
 * retries those that have not been applied. The shard applies each id once, so a retry after a change of leader is
 * harmless. Used by one thread, under the shard's lease.
 */
final class TopUpApplier {
    private static final Logger LOG = LogManager.getLogger(TopUpApplier.class);
    // Keeps the size of a log entry near 200 KB.
    private static final int MAX_BATCH_SIZE = 2_000;
    // A proposal is repeated after this time, in case its completion was lost.
    private static final long LOST_NANOS = TimeUnit.SECONDS.toNanos(5);

    private final Time time;
    private final ShardGroup shard;
    private final MetaGroup meta;
    private final ConfigurationCache cache;
    private final Executor executor;
    private final Set<TopUp> applied = new HashSet<>();
    private final Map<BudgetRef, Long> totals = new HashMap<>();
    private long appliedNumber = -1;
    private boolean proposalPending;
    private long proposedNanos;

    /**
     * Creates the top-up task of one shard.
     *
     * @param executor runs tasks on the thread that uses this object
     */
    TopUpApplier(Time time, ShardGroup shard, MetaGroup meta, ConfigurationCache cache, Executor executor) {
        this.time = time;
        this.shard = shard;
        this.meta = meta;
        this.cache = cache;
        this.executor = executor;
    }

    /** Starts a leadership term. The top-ups applied by an earlier leader are not known to this one. */
    void startTerm() {
        applied.clear();
        totals.clear();
        appliedNumber = -1;
        proposalPending = false;
    }

    /** Proposes the next batch of top-ups that have not been applied. */
    void run() {
        MetaSnapshot snapshot = meta.snapshot();
        if (isProposalRunning() || snapshot.number() <= appliedNumber) {
            return;
        }
        List<TopUp> batch = cache.topUps(snapshot, shard.id()).stream()
                .filter(t -> !isApplied(t))
                .limit(MAX_BATCH_SIZE)
                .toList();
        if (batch.isEmpty()) {
            appliedNumber = snapshot.number();
            return;
        }
        proposalPending = true;
        proposedNanos = time.nanos();
        shard.propose(ShardCommand.newBuilder()
                        .setApplyTopUps(ApplyTopUps.newBuilder()
                                .setConfigNumber(snapshot.number())
                                .addAllTopUps(batch)))
                .whenComplete((result, failure) -> executor.execute(() -> onProposalCompleted(batch, result, failure)));
    }

    private boolean isProposalRunning() {
        if (!proposalPending) {
            return false;
        }
        if (time.nanos() - proposedNanos < LOST_NANOS) {
            return true;
        }
        Event.of("top-ups-unanswered").with("group", shard.id()).warn(LOG);
        proposalPending = false;
        return false;
    }

    private boolean isApplied(TopUp t) {
        return t.getTotal() ? totals.getOrDefault(t.getBudget(), -1L) == t.getTokens() : applied.contains(t);
    }

    private void markApplied(TopUp t) {
        if (t.getTotal()) {
            Event.of("budget-total")
                    .with("account", t.getBudget().getAccount())
                    .with("tokens", t.getTokens())
                    .info(LOG);
            totals.put(t.getBudget(), t.getTokens());
        } else {
            applied.add(t);
        }
    }

    private void onProposalCompleted(List<TopUp> batch, @Nullable ShardResult result, @Nullable Throwable failure) {
        proposalPending = false;
        if (failure != null) {
            // The next run retries the batch.
            Event.of("top-ups-not-applied").with("group", shard.id()).warn(LOG, Causes.of(failure));
        } else if (result != null && result.hasTopUps()) {
            batch.forEach(this::markApplied);
            Event.of("top-ups-applied")
                    .with("group", shard.id())
                    .with("applied", result.getTopUps().getApplied())
                    .with("known", result.getTopUps().getKnown())
                    .info(LOG);
            run();
        } else if (result != null) {
            Event.of("top-ups-refused")
                    .with("group", shard.id())
                    .with("type", result.getError().getType())
                    .with("detail", result.getError().getDetail())
                    .warn(LOG);
        }
    }
}
