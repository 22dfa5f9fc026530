package org.ragwortrun.agent.internal;

import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.ragwortrun.core.id.Digests;
import org.ragwortrun.core.log.Event;
import org.ragwortrun.proto.Frame;
import org.ragwortrun.proto.RejectedUsage;
import org.ragwortrun.proto.SettleBatch;
import org.ragwortrun.proto.ShardCommand;
import org.ragwortrun.proto.ShardRequest;
import org.ragwortrun.proto.Usage;

/** Usage records that no shard has acknowledged. They are resent until acknowledged; a shard bills each only once. */
final class UsageOutbox {
    /** Sends calls to the leader of a shard. */
    interface ShardClient {
        CompletableFuture<Frame> call(int shard, Frame.Builder request, Duration timeout);
    }

    private static final Logger LOG = LogManager.getLogger(UsageOutbox.class);
    private static final int MAX_BATCH_SIZE = 64;
    private static final Duration TIMEOUT = Duration.ofSeconds(2);
    private static final long RETRY_DELAY_NANOS = Duration.ofMillis(200).toNanos();

    private final Map<Integer, Map<RequestKey, Usage>> byShard = new HashMap<>();
    private final Map<Integer, Long> earliestSendNanos = new HashMap<>();
    private final String reporter;
    private final int shards;
    private final int limit;
    private final ShardClient shardClient;
    private int size;

    UsageOutbox(String reporter, int shards, int limit, ShardClient shardClient) {
        this.reporter = reporter;
        this.shards = shards;
        this.limit = limit;
        this.shardClient = shardClient;
    }

    boolean isFull() {
        return size >= limit;
    }

    boolean isEmpty() {
        return size == 0;
    }

    int size() {
        return size;
    }

    void add(RequestKey key, Usage usage) {
        int shard = Digests.shard(key.account(), shards);
        if (byShard.computeIfAbsent(shard, s -> new LinkedHashMap<>()).putIfAbsent(key, usage) == null) {
            size++;
        }
    }

    boolean hasUsageOf(String incarnation) {
        return byShard.values().stream()
                .flatMap(m -> m.values().stream())
                .anyMatch(u -> u.getIncarnation().equals(incarnation));
    }

    /** Sends a batch to each shard whose retry delay has passed. The replies must be passed to {@link #onReply}. */
    void flush(long nowNanos, ReplyHandler replies) {
        byShard.forEach((shard, usages) -> {
            Long earliest = earliestSendNanos.get(shard);
            if (!usages.isEmpty() && (earliest == null || nowNanos - earliest >= 0)) {
                // Limits the wait, so that a lost reply does not block the shard's records permanently.
                earliestSendNanos.put(shard, nowNanos + TIMEOUT.toNanos() + RETRY_DELAY_NANOS);
                send(
                        shard,
                        List.copyOf(
                                usages.values().stream().limit(MAX_BATCH_SIZE).toList()),
                        replies);
            }
        });
    }

    /** Receives a reply and passes it to {@link #onReply} on the request thread. */
    interface ReplyHandler {
        void accept(int shard, List<Usage> sent, Frame reply);
    }

    private void send(int shard, List<Usage> batch, ReplyHandler replies) {
        SettleBatch settle = SettleBatch.newBuilder()
                .setReporter(reporter)
                .addAllUsages(batch)
                .build();
        Frame.Builder frame = Frame.newBuilder()
                .setShardRequest(ShardRequest.newBuilder()
                        .setGroup(shard)
                        .setCommand(ShardCommand.newBuilder().setSettle(settle)));
        shardClient
                .call(shard, frame, TIMEOUT)
                .whenComplete((reply, failure) ->
                        replies.accept(shard, batch, reply == null ? Frame.getDefaultInstance() : reply));
    }

    /** Removes the records that the shard acknowledged. Any other reply leaves them in place. */
    void onReply(int shard, List<Usage> sent, Frame reply, long nowNanos) {
        boolean settled = reply.hasShardReply()
                && reply.getShardReply().hasCommand()
                && reply.getShardReply().getCommand().hasSettled();
        if (!settled) {
            earliestSendNanos.put(shard, nowNanos + RETRY_DELAY_NANOS);
            return;
        }
        earliestSendNanos.remove(shard);
        for (RejectedUsage r : reply.getShardReply().getCommand().getSettled().getRejectedList()) {
            Event.of("usage-rejected")
                    .with("request", r.getRequestId())
                    .with("reason", r.getReason())
                    .warn(LOG);
        }
        Map<RequestKey, Usage> usages = byShard.getOrDefault(shard, Map.of());
        for (Usage u : sent) {
            if (usages.remove(RequestKey.of(u.getBudget(), u.getRequestId())) != null) {
                size--;
            }
        }
    }
}
