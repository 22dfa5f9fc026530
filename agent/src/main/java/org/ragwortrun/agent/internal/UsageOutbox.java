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

/** Usage records that no shard has acknowledged. They are resent until one does; a shard bills each only once. */
final class UsageOutbox {
    /** Way to the leader of a shard. */
    interface ShardCalls {
        CompletableFuture<Frame> call(int shard, Frame.Builder request, Duration timeout);
    }

    private static final Logger LOG = LogManager.getLogger(UsageOutbox.class);
    private static final int BATCH = 64;
    private static final Duration TIMEOUT = Duration.ofSeconds(2);
    private static final long PAUSE_NANOS = Duration.ofMillis(200).toNanos();

    private final Map<Integer, Map<RequestKey, Usage>> byShard = new HashMap<>();
    private final Map<Integer, Long> notBefore = new HashMap<>();
    private final String reporter;
    private final int shards;
    private final int limit;
    private final ShardCalls calls;
    private int size;

    UsageOutbox(String reporter, int shards, int limit, ShardCalls calls) {
        this.reporter = reporter;
        this.shards = shards;
        this.limit = limit;
        this.calls = calls;
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

    boolean holdsFor(String incarnation) {
        return byShard.values().stream()
                .flatMap(m -> m.values().stream())
                .anyMatch(u -> u.getIncarnation().equals(incarnation));
    }

    /** Sends one batch to each shard that has waited long enough. The reply comes back through {@link #onReply}. */
    void flush(long nowNanos, Replies replies) {
        byShard.forEach((shard, usages) -> {
            Long earliest = notBefore.get(shard);
            if (!usages.isEmpty() && (earliest == null || nowNanos - earliest >= 0)) {
                // A lost reply must not stop the shard's records for ever.
                notBefore.put(shard, nowNanos + TIMEOUT.toNanos() + PAUSE_NANOS);
                send(shard, List.copyOf(usages.values().stream().limit(BATCH).toList()), replies);
            }
        });
    }

    /** Receiver of a reply, which hands it to {@link #onReply} on the duty's thread. */
    interface Replies {
        void accept(int shard, List<Usage> sent, Frame reply);
    }

    private void send(int shard, List<Usage> batch, Replies replies) {
        SettleBatch settle = SettleBatch.newBuilder()
                .setReporter(reporter)
                .addAllUsages(batch)
                .build();
        Frame.Builder frame = Frame.newBuilder()
                .setShardRequest(ShardRequest.newBuilder()
                        .setGroup(shard)
                        .setCommand(ShardCommand.newBuilder().setSettle(settle)));
        calls.call(shard, frame, TIMEOUT)
                .whenComplete((reply, failure) ->
                        replies.accept(shard, batch, reply == null ? Frame.getDefaultInstance() : reply));
    }

    /** Removes what the shard acknowledged; anything but an acknowledgement leaves the records in place. */
    void onReply(int shard, List<Usage> sent, Frame reply, long nowNanos) {
        boolean settled = reply.hasShardReply()
                && reply.getShardReply().hasCommand()
                && reply.getShardReply().getCommand().hasSettled();
        if (!settled) {
            notBefore.put(shard, nowNanos + PAUSE_NANOS);
            return;
        }
        notBefore.remove(shard);
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
