package org.ragwortrun.control.internal;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.ragwortrun.core.concurrent.SingleThreadExecutor;
import org.ragwortrun.core.log.Event;
import org.ragwortrun.core.time.Time;
import org.ragwortrun.net.Peer;
import org.ragwortrun.net.Replies;
import org.ragwortrun.proto.Frame;
import org.ragwortrun.proto.ShardCommand;
import org.ragwortrun.proto.ShardReply;
import org.ragwortrun.proto.ShardRequest;
import org.ragwortrun.proto.ShardResult;

/** Handles requests to the shard groups that this member leads. One thread does all the work of all shards. */
public final class ShardService implements AutoCloseable {
    private static final Logger LOG = LogManager.getLogger(ShardService.class);

    private final SingleThreadExecutor duty;
    private final Peers peers;
    private final Map<Integer, ShardLeaderTasks> shards = new LinkedHashMap<>();

    public ShardService(
            Time time,
            List<? extends ShardGroup> groups,
            MetaGroup meta,
            MetaLeaderClient leader,
            Peers peers,
            ConfigurationCache cache,
            ControlSettings settings) {
        this.peers = peers;
        duty = new SingleThreadExecutor("control-shards", settings.requestRing());
        for (ShardGroup g : groups) {
            shards.put(g.id(), new ShardLeaderTasks(time, g, meta, leader, peers, cache, settings, this::enqueue));
        }
    }

    /** Queues a request. Replies with a typed error if the queue is full. */
    public void offer(Peer peer, Frame request) {
        if (!duty.offer(() -> FailureReplies.guard(peer, request, () -> handle(peer, request)))) {
            peer.send(FailureReplies.overloaded(request, "the request queue of the shards is full"));
        }
    }

    /** Queues the periodic work. */
    public void tick() {
        duty.offer(() -> shards.values()
                .forEach(s -> SingleThreadExecutor.guarded(s::advance).run()));
    }

    @Override
    public void close() {
        duty.close();
    }

    private void handle(Peer peer, Frame request) {
        peers.markSeen(peer);
        if (request.hasFenceConfirmed()) {
            shards.values().forEach(s -> s.onFenceConfirmed(request.getFenceConfirmed()));
            return;
        }
        ShardRequest shardRequest = request.getShardRequest();
        ShardLeaderTasks tasks = shards.get(shardRequest.getGroup());
        if (tasks == null) {
            peer.send(Replies.error(request, "unknown-group", "no shard has the number " + shardRequest.getGroup()));
            return;
        }
        ShardGroup shard = tasks.shard();
        if (!tasks.advance()) {
            peer.send(FailureReplies.notLeader(request, shard));
            return;
        }
        switch (shardRequest.getOpCase()) {
            case COMMAND -> propose(peer, request, tasks);
            case STATEMENT, EXPLAIN, SUMMARY -> answerQuery(peer, request, shard);
            default -> peer.send(Replies.error(request, "unknown-message", "the shard request has no operation"));
        }
    }

    private static void answerQuery(Peer peer, Frame request, ShardGroup shard) {
        ShardReply reply = shard.query(request.getShardRequest());
        // A read is valid only if the lease is still held after it.
        boolean valid = shard.leasedTerm().isPresent();
        peer.send(valid ? Replies.to(request).setShardReply(reply).build() : FailureReplies.notLeader(request, shard));
    }

    private void propose(Peer peer, Frame request, ShardLeaderTasks tasks) {
        ShardCommand command = request.getShardRequest().getCommand();
        if (!isAllowedForCallers(command)) {
            peer.send(Replies.error(
                    request, "not-allowed", command.getOpCase() + " may only be proposed by the control daemon"));
            return;
        }
        tasks.shard().propose(command.toBuilder()).whenComplete((result, failure) -> {
            if (result == null || failure != null) {
                Throwable cause = failure == null ? new IllegalStateException("no result") : failure;
                peer.send(FailureReplies.of(request, tasks.shard(), cause));
                return;
            }
            peer.send(Replies.to(request)
                    .setShardReply(ShardReply.newBuilder().setCommand(result))
                    .build());
            logWrittenOffGrants(command, result);
            queueFollowUpTasks(command, result, tasks);
        });
    }

    private static void logWrittenOffGrants(ShardCommand command, ShardResult result) {
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

    /** Queues the tasks that follow from the result of a command. */
    private void queueFollowUpTasks(ShardCommand command, ShardResult result, ShardLeaderTasks tasks) {
        if (result.hasGrant()) {
            enqueue(() -> tasks.onGrant(command.getRequestGrant().getBudget(), result.getGrant()));
        } else if (result.hasSessionOpened() && result.getSessionOpened().getToFenceCount() > 0) {
            enqueue(tasks::onSessionOpened);
        }
    }

    /** Queues a task. If the queue is full, the task is dropped, and the periodic work makes up for it. */
    private void enqueue(Runnable task) {
        duty.offer(task);
    }

    private static boolean isAllowedForCallers(ShardCommand command) {
        return switch (command.getOpCase()) {
            case OPEN_SESSION, REQUEST_GRANT, REDUCE_GRANTS, SETTLE, CLAIM, RESOLVE -> true;
            case CLOSE_SESSION -> command.getCloseSession().getOrderly();
            default -> false;
        };
    }
}
