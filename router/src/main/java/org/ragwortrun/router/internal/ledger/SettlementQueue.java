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
import org.ragwortrun.core.concurrent.SingleThreadExecutor;
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
    private static final long RESEND_MS = 1_000;
    // A call has ended by then, unless its end was lost.
    private static final long LOST_NANOS = TIMEOUT.toNanos() + 1_000_000_000;

    private final BudgetOwners shards;
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
            BudgetOwners shards,
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
        SingleThreadExecutor.repeat(timer, this::sendAll, RESEND_MS, RESEND_MS);
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

    /** Makes queued reports be sent sooner than periodically: after a short delay, to collect more. */
    private void sendSoon() {
        if (!timer.isShutdown() && scheduled.compareAndSet(false, true)) {
            timer.schedule(SingleThreadExecutor.guarded(this::sendAll), PERIOD_MS, TimeUnit.MILLISECONDS);
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
        queues.values().forEach(q -> SingleThreadExecutor.guarded(q::send).run());
    }

    /** Reports for one shard, of which one batch is in flight at a time. */
    private final class ShardQueue {
        private final int group;
        private final BlockingQueue<Usage> waiting = new ArrayBlockingQueue<>(QUEUE_CAPACITY);
        private List<Usage> sent = new ArrayList<>();
        private long batchNumber;
        private long sentNanos;
        private @Nullable CompletableFuture<ShardResult> call;

        ShardQueue(int group) {
            this.group = group;
        }

        synchronized void send() {
            long now = time.nanos();
            if (call != null && !call.isDone()) {
                if (now - sentNanos < LOST_NANOS) {
                    return;
                }
                Event.of("settlement-call-lost").with("group", group).warn(LOG);
            }
            if (sent.isEmpty()) {
                batchNumber++;
                waiting.drainTo(sent, MAX_BATCH_SIZE);
            }
            if (sent.isEmpty()) {
                return;
            }
            SettleBatch batch = SettleBatch.newBuilder()
                    .setReporter(reporter)
                    .addAllUsages(sent)
                    .build();
            long number = batchNumber;
            sentNanos = now;
            call = shards.send(group, ShardCommand.newBuilder().setSettle(batch), TIMEOUT);
            call.whenComplete((result, failure) -> {
                if (result != null && result.hasSettled()) {
                    onAcknowledged(number, result.getSettled().getRejectedList());
                }
                if (pending.get() > 0) {
                    sendSoon();
                }
            });
        }

        private synchronized void onAcknowledged(long number, List<RejectedUsage> rejected) {
            if (number != batchNumber || sent.isEmpty()) {
                return;
            }
            List<Usage> acknowledged = sent;
            sent = new ArrayList<>();
            pending.addAndGet(-acknowledged.size());
            acknowledged.forEach(u -> SingleThreadExecutor.guarded(() -> acknowledgementListener.accept(u))
                    .run());
            rejected.forEach(r -> Event.of("settlement-rejected")
                    .with("request", r.getRequestId())
                    .with("reason", r.getReason())
                    .warn(LOG));
        }
    }
}
