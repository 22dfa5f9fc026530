package org.ragwortrun.control.internal;

import java.time.Duration;
import java.util.OptionalLong;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.ragwortrun.core.concurrent.Causes;
import org.ragwortrun.core.log.Event;
import org.ragwortrun.core.time.Time;
import org.ragwortrun.proto.BudgetRef;
import org.ragwortrun.proto.FenceConfirmed;
import org.ragwortrun.proto.ForgetOld;
import org.ragwortrun.proto.GrantResult;
import org.ragwortrun.proto.ShardCommand;

/** Background tasks of the leader of one shard: recalls, fencing, top-ups and expiry of old ids. Used by one thread. */
final class ShardLeaderTasks {
    private static final Logger LOG = LogManager.getLogger(ShardLeaderTasks.class);
    private static final long FENCE_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final long FORGET_INTERVAL_NANOS = TimeUnit.MINUTES.toNanos(1);

    private final Time time;
    private final ShardGroup shard;
    private final RecallSender recallSender;
    private final Fencing fencing;
    private final TopUpApplier topUps;
    private final Duration retention;
    private OptionalLong term = OptionalLong.empty();
    private long nextFenceNanos;
    private long nextForgetNanos;

    ShardLeaderTasks(
            Time time,
            ShardGroup shard,
            MetaGroup meta,
            MetaLeaderClient leader,
            Peers peers,
            ConfigurationCache cache,
            ControlSettings settings,
            Executor executor) {
        this.time = time;
        this.shard = shard;
        recallSender = new RecallSender(time, peers);
        fencing = new Fencing(time, shard, meta, leader, peers, settings.routerFenceAfter(), executor);
        topUps = new TopUpApplier(time, shard, meta, cache, executor);
        retention = settings.idRetention();
    }

    ShardGroup shard() {
        return shard;
    }

    /** Handles changes of leadership and runs the tasks that are due. Returns whether this member leads under a lease. */
    boolean advance() {
        OptionalLong now = shard.leasedTerm();
        if (now.isEmpty()) {
            return false;
        }
        if (!now.equals(term)) {
            startTerm(now);
        }
        topUps.run();
        if (time.nanos() - nextFenceNanos >= 0) {
            nextFenceNanos = time.nanos() + FENCE_INTERVAL_NANOS;
            fencing.run();
        }
        if (time.nanos() - nextForgetNanos >= 0) {
            nextForgetNanos = time.nanos() + FORGET_INTERVAL_NANOS;
            forgetOldIds();
        }
        return true;
    }

    void onGrant(BudgetRef budget, GrantResult result) {
        if (result.getOutcome() == GrantResult.Outcome.HELD) {
            recallSender.recall(budget, result);
        }
    }

    /** Called after a session was opened, since an older incarnation may have to be fenced. */
    void onSessionOpened() {
        fencing.run();
    }

    void onFenceConfirmed(FenceConfirmed confirmed) {
        if (advance()) {
            fencing.onConfirmed(confirmed);
        }
    }

    private void startTerm(OptionalLong newTerm) {
        term = newTerm;
        fencing.startTerm();
        topUps.startTerm();
        nextFenceNanos = time.nanos();
        nextForgetNanos = time.nanos() + FORGET_INTERVAL_NANOS;
        Event.of("shard-leadership")
                .with("group", shard.id())
                .with("term", newTerm.getAsLong())
                .info(LOG);
    }

    private void forgetOldIds() {
        long before = time.wallMillis() - retention.toMillis();
        shard.propose(ShardCommand.newBuilder()
                        .setForgetOld(ForgetOld.newBuilder().setBeforeMs(before)))
                .whenComplete((r, e) -> {
                    if (e != null) {
                        Event.of("ids-not-forgotten").with("group", shard.id()).warn(LOG, Causes.of(e));
                    }
                });
    }
}
