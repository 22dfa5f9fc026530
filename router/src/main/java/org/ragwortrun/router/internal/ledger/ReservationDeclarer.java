package org.ragwortrun.router.internal.ledger;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jspecify.annotations.Nullable;
import org.ragwortrun.core.concurrent.SingleThreadExecutor;
import org.ragwortrun.core.log.Event;
import org.ragwortrun.ledger.GrantPool;
import org.ragwortrun.ledger.Reservation;
import org.ragwortrun.proto.SettleBatch;
import org.ragwortrun.proto.ShardCommand;
import org.ragwortrun.proto.SpendMark;

/**
 * Declares reservations to the shards before their requests are sent.
 *
 * <p>If a router is lost, the shard counts only its declared reservations as spent instead of all its grants. If a
 * shard does not answer for some seconds, the router spends from its grants at a bounded rate, on which the shard
 * relies.
 */
final class ReservationDeclarer {
    private static final Logger LOG = LogManager.getLogger(ReservationDeclarer.class);
    // Several times the round trip with a write to disk. A request that waits longer would miss its latency goal.
    private static final Duration TIMEOUT = Duration.ofMillis(250);
    // The shard measures the time since a router's last declaration, so budgets without requests are declared as well.
    private static final long DECLARE_ALL_INTERVAL_MS = 450;
    private static final long RETRY_MS = 25;
    // A call has ended by then, unless its end was lost.
    private static final long LOST_NANOS = 2 * TIMEOUT.toNanos();

    private final GrantPool pool;
    private final BudgetOwners shards;
    private final ScheduledExecutorService timer;
    private final String incarnation;
    private final Map<Integer, ShardQueue> queues = new ConcurrentHashMap<>();

    ReservationDeclarer(GrantPool pool, BudgetOwners shards, ScheduledExecutorService timer, String incarnation) {
        this.pool = pool;
        this.shards = shards;
        this.timer = timer;
        this.incarnation = incarnation;
        SingleThreadExecutor.repeat(timer, this::declareAll, DECLARE_ALL_INTERVAL_MS, DECLARE_ALL_INTERVAL_MS);
    }

    /** A reservation that is not declared yet and the callback that receives the result. */
    private record PendingDeclaration(Reservation reservation, long endNanos, Consumer<Boolean> done) {}

    /**
     * Declares a reservation.
     *
     * @param maxWait maximum time to wait
     * @param done receives whether the reservation may be spent
     */
    void declare(Reservation reservation, Duration maxWait, Consumer<Boolean> done) {
        int group = shards.groupOf(reservation.budget());
        queues.computeIfAbsent(group, ShardQueue::new)
                .add(new PendingDeclaration(reservation, System.nanoTime() + maxWait.toNanos(), done));
    }

    private void declareAll() {
        queues.values().forEach(q -> SingleThreadExecutor.guarded(q::declareAll).run());
    }

    /** A call that declares reservations. */
    private record Call(List<PendingDeclaration> batch, List<SpendMark> marks, long sentNanos, AtomicBoolean ended) {}

    /** Declarations to one shard, of which one is in flight at a time. */
    private final class ShardQueue {
        private final int group;
        private List<PendingDeclaration> waiting = new ArrayList<>();
        private @Nullable Call running;
        private boolean declareAllDue;
        private volatile boolean unresponsive;

        ShardQueue(int group) {
            this.group = group;
        }

        void add(PendingDeclaration w) {
            if (unresponsive && pool.trySpendUnacknowledged(w.reservation())) {
                w.done().accept(true);
                return;
            }
            synchronized (this) {
                waiting.add(w);
            }
            if (unresponsive) {
                retryLater();
            } else {
                send();
            }
        }

        /** Declares all budgets, with the next declaration if one is in flight. */
        void declareAll() {
            Call call;
            synchronized (this) {
                declareAllDue = true;
                call = running;
            }
            if (call != null && System.nanoTime() - call.sentNanos() >= LOST_NANOS) {
                Event.of("declaration-call-lost").with("group", group).warn(LOG);
                end(call, false);
            }
            send();
        }

        private void send() {
            Call call;
            synchronized (this) {
                if (running != null || (waiting.isEmpty() && !declareAllDue)) {
                    return;
                }
                boolean all = declareAllDue;
                declareAllDue = false;
                List<PendingDeclaration> batch = waiting;
                waiting = new ArrayList<>();
                List<SpendMark> marks = all
                        ? pool.spendMarks().stream()
                                .filter(m -> shards.groupOf(m.getBudget()) == group)
                                .toList()
                        : batch.stream()
                                .map(w -> w.reservation().budget())
                                .distinct()
                                .map(pool::spendMark)
                                .toList();
                if (marks.isEmpty()) {
                    return;
                }
                call = new Call(batch, marks, System.nanoTime(), new AtomicBoolean());
                running = call;
            }
            SettleBatch declared = SettleBatch.newBuilder()
                    .setReporter(incarnation)
                    .addAllMarks(call.marks())
                    .build();
            shards.send(group, ShardCommand.newBuilder().setSettle(declared), TIMEOUT)
                    .whenComplete((result, failure) -> end(call, result != null && result.hasSettled()));
        }

        private void end(Call call, boolean acknowledged) {
            if (call.ended().getAndSet(true)) {
                return;
            }
            boolean declared = false;
            try {
                record(call, acknowledged);
                declared = acknowledged;
            } finally {
                synchronized (this) {
                    running = null;
                    if (!declared) {
                        waiting.addAll(0, call.batch());
                    }
                }
            }
            if (acknowledged) {
                call.batch().forEach(w -> w.done().accept(true));
                send();
            } else {
                resolveWaiting();
            }
        }

        private void record(Call call, boolean acknowledged) {
            if (acknowledged) {
                pool.acknowledgeMarks(call.marks());
            }
            if (unresponsive == acknowledged) {
                Event.of(acknowledged ? "ledger-regained" : "ledger-silent")
                        .with("group", group)
                        .with("waiting", call.batch().size())
                        .info(LOG);
            }
            unresponsive = !acknowledged;
        }

        private void retryLater() {
            timer.schedule(SingleThreadExecutor.guarded(this::resolveWaiting), RETRY_MS, TimeUnit.MILLISECONDS);
        }

        /**
         * Allows waiting reservations to be spent without an acknowledgement, as far as the limits permit. Denies those
         * whose time is up, or all others if this host is partitioned.
         */
        private void resolveWaiting() {
            if (!unresponsive) {
                send();
                return;
            }
            List<PendingDeclaration> batch;
            synchronized (this) {
                batch = waiting;
                waiting = new ArrayList<>();
            }
            long now = System.nanoTime();
            // If this host is partitioned, another host can serve the caller before an acknowledgement arrives here.
            boolean partitioned = shards.isPartitioned();
            List<PendingDeclaration> remaining = new ArrayList<>();
            for (PendingDeclaration w : batch) {
                if (pool.trySpendUnacknowledged(w.reservation())) {
                    w.done().accept(true);
                } else if (partitioned || w.endNanos() - now <= 0) {
                    w.done().accept(false);
                } else {
                    remaining.add(w);
                }
            }
            if (!remaining.isEmpty()) {
                synchronized (this) {
                    waiting.addAll(0, remaining);
                }
                retryLater();
            }
        }
    }
}
