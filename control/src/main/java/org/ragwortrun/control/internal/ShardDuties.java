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

/** What the leader of one shard does unasked: recalls, fencing, top-ups and forgetting. Used by one thread. */
final class ShardDuties {
    private static final Logger LOG = LogManager.getLogger(ShardDuties.class);
    private static final long FENCE_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final long FORGET_INTERVAL_NANOS = TimeUnit.MINUTES.toNanos(1);

    private final Time time;
    private final ShardGroup shard;
    private final Recalls recalls;
    private final Fencing fencing;
    private final TopUps topUps;
    private final Duration retention;
    private OptionalLong term = OptionalLong.empty();
    private long nextFenceNanos;
    private long nextForgetNanos;

    ShardDuties(
            Time time,
            ShardGroup shard,
            MetaGroup meta,
            MetaView leader,
            Peers peers,
            ConfigurationCache cache,
            ControlSettings settings,
            Executor thread) {
        this.time = time;
        this.shard = shard;
        recalls = new Recalls(time, peers);
        fencing = new Fencing(time, shard, meta, leader, peers, settings.routerFenceAfter(), thread);
        topUps = new TopUps(shard, meta, cache, thread);
        retention = settings.idRetention();
    }

    ShardGroup shard() {
        return shard;
    }

    /** Follows changes of leadership and does what is due. Returns whether this member leads under a lease. */
    boolean advance() {
        OptionalLong now = shard.leasedTerm();
        if (now.isEmpty()) {
            return false;
        }
        if (!now.equals(term)) {
            begin(now);
        }
        topUps.run();
        if (time.nanos() - nextFenceNanos >= 0) {
            nextFenceNanos = time.nanos() + FENCE_INTERVAL_NANOS;
            fencing.run();
        }
        if (time.nanos() - nextForgetNanos >= 0) {
            nextForgetNanos = time.nanos() + FORGET_INTERVAL_NANOS;
            forget();
        }
        return true;
    }

    void onGrant(BudgetRef budget, GrantResult result) {
        if (result.getOutcome() == GrantResult.Outcome.HELD) {
            recalls.onResult(budget, result);
        }
    }

    /** A session was opened; an older incarnation may have to be fenced. */
    void onSession() {
        fencing.run();
    }

    void onFenceConfirmed(FenceConfirmed confirmed) {
        if (advance()) {
            fencing.onConfirmed(confirmed);
        }
    }

    private void begin(OptionalLong newTerm) {
        term = newTerm;
        fencing.begin();
        topUps.begin();
        nextFenceNanos = time.nanos();
        nextForgetNanos = time.nanos() + FORGET_INTERVAL_NANOS;
        Event.of("shard-leadership")
                .with("group", shard.id())
                .with("term", newTerm.getAsLong())
                .info(LOG);
    }

    private void forget() {
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
