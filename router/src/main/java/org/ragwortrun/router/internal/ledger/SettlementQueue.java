package org.ragwortrun.router.internal.ledger;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jspecify.annotations.Nullable;
import org.ragwortrun.core.log.Event;
import org.ragwortrun.core.time.Time;
import org.ragwortrun.proto.RejectedUsage;
import org.ragwortrun.proto.SettleBatch;
import org.ragwortrun.proto.ShardCommand;
import org.ragwortrun.proto.ShardResult;
import org.ragwortrun.proto.Usage;

/**
 * Reports usage to the shards in batches and retries each batch until its shard acknowledges it.
 *
 * <p>The agents report the same usage and keep it until it is acknowledged. This queue only makes reports arrive sooner,
 * so it may drop them while a shard is unreachable for long.
 */
public final class SettlementQueue implements AutoCloseable {
    private static final Logger LOG = LogManager.getLogger(SettlementQueue.class);
    private static final int QUEUE_CAPACITY = 16_384;
    private static final int MAX_BATCH_SIZE = 256;
    private static final long PERIOD_MS = 20;
    private static final Duration TIMEOUT = Duration.ofSeconds(2);

    private final Shards shards;
    private final String reporter;
    private final Duration closeTimeout;
    private final Time time;
    private final Consumer<Usage> acknowledgementListener;
    private final Map<Integer, ShardQueue> queues = new ConcurrentHashMap<>();
    private final AtomicInteger pending = new AtomicInteger();
    private final AtomicBoolean scheduled = new AtomicBoolean();
    private final ScheduledExecutorService timer;

    /**
     * Creates a queue that sends on the timer's thread.
     *
     * @param reporter incarnation of this router
     * @param closeTimeout maximum time that close waits for acknowledgements
     * @param acknowledgementListener receives each usage that its shard has acknowledged
     */
    public SettlementQueue(
            Shards shards,
            ScheduledExecutorService timer,
            String reporter,
            Duration closeTimeout,
            Time time,
            Consumer<Usage> acknowledgementListener) {
        this.shards = shards;
        this.reporter = reporter;
        this.closeTimeout = closeTimeout;
        this.time = time;
        this.acknowledgementListener = acknowledgementListener;
        this.timer = timer;
    }

    /** Queues the usage of one finished request. */
    public void add(Usage usage) {
        int group = shards.groupOf(usage.getBudget());
        ShardQueue queue = queues.computeIfAbsent(group, ShardQueue::new);
        pending.incrementAndGet();
        if (!queue.waiting.offer(usage)) {
            pending.decrementAndGet();
            Event.of("settlement-dropped").with("request", usage.getRequestId()).warn(LOG);
        }
        sendSoon();
    }

    /** Schedules queued reports to be sent after a short delay, to collect more. Idle queues need no timer. */
    private void sendSoon() {
        if (!timer.isShutdown() && scheduled.compareAndSet(false, true)) {
            timer.schedule(this::sendAll, PERIOD_MS, TimeUnit.MILLISECONDS);
        }
    }

    /** Returns the number of reports that have not been acknowledged. */
    public int pending() {
        return pending.get();
    }

    /** Waits until all reports are acknowledged or the time limit is reached. */
    @Override
    public void close() throws InterruptedException {
        long end = time.nanos() + closeTimeout.toNanos();
        while (pending.get() > 0 && end - time.nanos() > 0) {
            TimeUnit.MILLISECONDS.sleep(PERIOD_MS);
        }
        if (pending.get() > 0) {
            Event.of("settlements-left-to-agents").with("count", pending.get()).warn(LOG);
        }
    }

    private void sendAll() {
        scheduled.set(false);
        queues.values().forEach(ShardQueue::send);
    }

    /** Reports for one shard, of which one batch is in flight at a time. */
    private final class ShardQueue {
        private final int group;
        private final BlockingQueue<Usage> waiting = new ArrayBlockingQueue<>(QUEUE_CAPACITY);
        private final List<Usage> sent = new ArrayList<>();
        private @Nullable CompletableFuture<ShardResult> call;

        ShardQueue(int group) {
            this.group = group;
        }

        synchronized void send() {
            if (call != null && !call.isDone()) {
                return;
            }
            if (sent.isEmpty()) {
                waiting.drainTo(sent, MAX_BATCH_SIZE);
            }
            if (sent.isEmpty()) {
                return;
            }
            SettleBatch batch = SettleBatch.newBuilder()
                    .setReporter(reporter)
                    .addAllUsages(sent)
                    .build();
            call = shards.send(group, ShardCommand.newBuilder().setSettle(batch), TIMEOUT);
            call.whenComplete((result, failure) -> {
                if (result != null && result.hasSettled()) {
                    onAcknowledged(result.getSettled().getRejectedList());
                }
                if (pending.get() > 0) {
                    sendSoon();
                }
            });
        }

        private synchronized void onAcknowledged(List<RejectedUsage> rejected) {
            pending.addAndGet(-sent.size());
            sent.forEach(acknowledgementListener);
            sent.clear();
            rejected.forEach(r -> Event.of("settlement-rejected")
                    .with("request", r.getRequestId())
                    .with("reason", r.getReason())
                    .warn(LOG));
        }
    }
}
