package org.ragwortrun.router.internal.ledger;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.ragwortrun.core.concurrent.Duty;
import org.ragwortrun.core.log.Event;
import org.ragwortrun.ledger.GrantPool;
import org.ragwortrun.ledger.Reservation;
import org.ragwortrun.proto.SettleBatch;
import org.ragwortrun.proto.ShardCommand;
import org.ragwortrun.proto.SpendMark;

/**
 * Declares reservations to the shards before their requests are sent.
 *
 * <p>When a router is lost, its shard counts as spent what the router had declared instead of all that it held. A router
 * that a shard has not answered for some seconds spends from its grants at a bounded rate, which the shard counts on.
 */
final class Declarations {
    private static final Logger LOG = LogManager.getLogger(Declarations.class);
    // Several times the round trip with a write to disk; a request that waits longer would miss its aim.
    private static final Duration TIMEOUT = Duration.ofMillis(250);
    // The shard measures the time since a router's last declaration, so that a quiet one must be heard too.
    private static final long BEAT_MS = 450;
    private static final long RETRY_MS = 25;

    private final GrantPool pool;
    private final BudgetOwners owners;
    private final ScheduledExecutorService timer;
    private final String incarnation;
    private final Map<Integer, Group> groups = new ConcurrentHashMap<>();

    Declarations(GrantPool pool, BudgetOwners owners, ScheduledExecutorService timer, String incarnation) {
        this.pool = pool;
        this.owners = owners;
        this.timer = timer;
        this.incarnation = incarnation;
        Duty.repeat(timer, this::beat, BEAT_MS, BEAT_MS);
    }

    /** A reservation that waits to be declared, and who waits for it. */
    private record Waiting(Reservation reservation, long endNanos, Consumer<Boolean> done) {}

    /**
     * Declares a reservation.
     *
     * @param most longest wait
     * @param done hears whether the reservation may be spent
     */
    void declare(Reservation reservation, Duration most, Consumer<Boolean> done) {
        int group = owners.of(reservation.budget());
        groups.computeIfAbsent(group, Group::new)
                .add(new Waiting(reservation, System.nanoTime() + most.toNanos(), done));
    }

    private void beat() {
        groups.values().forEach(Group::beat);
    }

    /** Declarations to one shard; one is under way at a time. */
    private final class Group {
        private final int number;
        private List<Waiting> waiting = new ArrayList<>();
        private boolean underWay;
        private boolean allDue;
        private volatile boolean silent;

        Group(int number) {
            this.number = number;
        }

        void add(Waiting w) {
            if (silent && pool.spendUnacknowledged(w.reservation())) {
                w.done().accept(true);
                return;
            }
            synchronized (this) {
                waiting.add(w);
            }
            if (silent) {
                retryLater();
            } else {
                send();
            }
        }

        /** Declares all budgets, with the next declaration if one is under way. */
        void beat() {
            synchronized (this) {
                allDue = true;
            }
            send();
        }

        private void send() {
            List<Waiting> batch;
            List<SpendMark> marks;
            synchronized (this) {
                if (underWay || (waiting.isEmpty() && !allDue)) {
                    return;
                }
                boolean all = allDue;
                allDue = false;
                batch = waiting;
                waiting = new ArrayList<>();
                marks = all
                        ? pool.marks().stream()
                                .filter(m -> owners.of(m.getBudget()) == number)
                                .toList()
                        : batch.stream()
                                .map(w -> w.reservation().budget())
                                .distinct()
                                .map(pool::mark)
                                .toList();
                underWay = !marks.isEmpty();
            }
            if (marks.isEmpty()) {
                return;
            }
            SettleBatch declared = SettleBatch.newBuilder()
                    .setReporter(incarnation)
                    .addAllMarks(marks)
                    .build();
            owners.send(number, ShardCommand.newBuilder().setSettle(declared), TIMEOUT)
                    .whenComplete((result, failure) -> answered(batch, marks, result != null && result.hasSettled()));
        }

        private void answered(List<Waiting> batch, List<SpendMark> marks, boolean acknowledged) {
            if (acknowledged) {
                pool.marked(marks);
            }
            if (silent == acknowledged) {
                Event.of(acknowledged ? "ledger-regained" : "ledger-silent")
                        .with("group", number)
                        .with("waiting", batch.size())
                        .info(LOG);
            }
            silent = !acknowledged;
            synchronized (this) {
                underWay = false;
                if (!acknowledged) {
                    waiting.addAll(0, batch);
                }
            }
            if (acknowledged) {
                batch.forEach(w -> w.done().accept(true));
                send();
            } else {
                spendWaiting();
            }
        }

        private void retryLater() {
            timer.schedule(this::spendWaiting, RETRY_MS, TimeUnit.MILLISECONDS);
        }

        /** Lets those that wait spend without an acknowledgement, as far as the bounds allow. */
        private void spendWaiting() {
            if (!silent) {
                send();
                return;
            }
            List<Waiting> batch;
            synchronized (this) {
                batch = waiting;
                waiting = new ArrayList<>();
            }
            long now = System.nanoTime();
            // Another host can serve the caller sooner than an acknowledgement can come.
            boolean cutOff = owners.isCutOff();
            List<Waiting> left = new ArrayList<>();
            for (Waiting w : batch) {
                if (pool.spendUnacknowledged(w.reservation())) {
                    w.done().accept(true);
                } else if (cutOff || w.endNanos() - now <= 0) {
                    w.done().accept(false);
                } else {
                    left.add(w);
                }
            }
            if (!left.isEmpty()) {
                synchronized (this) {
                    waiting.addAll(0, left);
                }
                retryLater();
            }
        }
    }
}
