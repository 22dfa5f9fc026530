package org.ragwortrun.control.internal;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.ragwortrun.core.concurrent.Duty;
import org.ragwortrun.core.log.Event;
import org.ragwortrun.core.time.Time;
import org.ragwortrun.net.Peer;
import org.ragwortrun.net.Replies;
import org.ragwortrun.proto.Frame;
import org.ragwortrun.proto.ShardCommand;
import org.ragwortrun.proto.ShardReply;
import org.ragwortrun.proto.ShardRequest;
import org.ragwortrun.proto.ShardResult;

/** Answers requests to the shard groups that this member leads. One duty does all work of all shards. */
public final class ShardService implements AutoCloseable {
    private static final Logger LOG = LogManager.getLogger(ShardService.class);

    private final Duty duty;
    private final Peers peers;
    private final Map<Integer, ShardDuties> shards = new LinkedHashMap<>();

    public ShardService(
            Time time,
            List<? extends ShardGroup> groups,
            MetaGroup meta,
            MetaView leader,
            Peers peers,
            ConfigurationCache cache,
            ControlSettings settings) {
        this.peers = peers;
        duty = new Duty("control-shards", settings.requestRing());
        for (ShardGroup g : groups) {
            shards.put(g.id(), new ShardDuties(time, g, meta, leader, peers, cache, settings, this::later));
        }
    }

    /** Queues a request. Replies with a typed error if the ring is full. */
    public void offer(Peer peer, Frame request) {
        if (!duty.offer(() -> Failures.guard(peer, request, () -> handle(peer, request)))) {
            peer.send(Failures.overloaded(request, "the shards' ring is full"));
        }
    }

    /** Queues the periodic work. */
    public void tick() {
        duty.offer(() -> shards.values().forEach(ShardDuties::advance));
    }

    @Override
    public void close() {
        duty.close();
    }

    private void handle(Peer peer, Frame request) {
        peers.heard(peer);
        if (request.hasFenceConfirmed()) {
            shards.values().forEach(s -> s.onFenceConfirmed(request.getFenceConfirmed()));
            return;
        }
        ShardRequest op = request.getShardRequest();
        ShardDuties duties = shards.get(op.getGroup());
        if (duties == null) {
            peer.send(Replies.error(request, "unknown-group", "no shard has the number " + op.getGroup()));
            return;
        }
        ShardGroup shard = duties.shard();
        if (!duties.advance()) {
            peer.send(Failures.notLeader(request, shard));
            return;
        }
        switch (op.getOpCase()) {
            case COMMAND -> propose(peer, request, duties);
            case STATEMENT, EXPLAIN, SUMMARY -> answer(peer, request, shard);
            default -> peer.send(Replies.error(request, "unknown-message", "a shard request without an operation"));
        }
    }

    private static void answer(Peer peer, Frame request, ShardGroup shard) {
        ShardReply reply = shard.query(request.getShardRequest());
        // A read is valid only if the lease still holds after it.
        boolean valid = shard.leasedTerm().isPresent();
        peer.send(valid ? Replies.to(request).setShardReply(reply).build() : Failures.notLeader(request, shard));
    }

    private void propose(Peer peer, Frame request, ShardDuties duties) {
        ShardCommand command = request.getShardRequest().getCommand();
        if (!isForCallers(command)) {
            peer.send(Replies.error(
                    request, "not-allowed", command.getOpCase() + " is proposed by the control daemon only"));
            return;
        }
        duties.shard().propose(command.toBuilder()).whenComplete((result, failure) -> {
            if (result == null || failure != null) {
                Throwable cause = failure == null ? new IllegalStateException("no result") : failure;
                peer.send(Failures.of(request, duties.shard(), cause));
                return;
            }
            peer.send(Replies.to(request)
                    .setShardReply(ShardReply.newBuilder().setCommand(result))
                    .build());
            logLosses(command, result);
            follow(command, result, duties);
        });
    }

    private static void logLosses(ShardCommand command, ShardResult result) {
        result.getSessionOpened()
                .getWrittenOffList()
                .forEach(w -> Event.of("grants-written-off")
                        .with("router", command.getOpenSession().getRouter())
                        .with("account", w.getBudget().getAccount())
                        .with("held", w.getHeld())
                        .with("counted-as-spent", w.getLost())
                        .with("declared", w.getDeclared())
                        .with("silent-ms", w.getSilentMs())
                        .info(LOG));
    }

    /** Starts what the answer entails. */
    private void follow(ShardCommand command, ShardResult result, ShardDuties duties) {
        if (result.hasGrant()) {
            later(() -> duties.onGrant(command.getRequestGrant().getBudget(), result.getGrant()));
        } else if (result.hasSessionOpened() && result.getSessionOpened().getToFenceCount() > 0) {
            later(duties::onSession);
        }
    }

    /** Queues a task that is repeated by the periodic work if the ring has no room now. */
    private void later(Runnable task) {
        duty.offer(task);
    }

    private static boolean isForCallers(ShardCommand command) {
        return switch (command.getOpCase()) {
            case OPEN_SESSION, REQUEST_GRANT, REDUCE_GRANTS, SETTLE, CLAIM, RESOLVE -> true;
            case CLOSE_SESSION -> command.getCloseSession().getOrderly();
            default -> false;
        };
    }
}
