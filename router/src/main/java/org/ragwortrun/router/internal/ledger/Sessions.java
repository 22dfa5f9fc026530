package org.ragwortrun.router.internal.ledger;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.ragwortrun.core.concurrent.SingleThreadExecutor;
import org.ragwortrun.core.log.Event;
import org.ragwortrun.proto.CloseSession;
import org.ragwortrun.proto.OpenSession;
import org.ragwortrun.proto.ShardCommand;

/** The sessions of this router's incarnation at the shards. */
public final class Sessions {
    private static final Logger LOG = LogManager.getLogger(Sessions.class);
    private static final Duration TIMEOUT = Duration.ofSeconds(1);
    private static final long RETRY_MS = 200;
    // A call has ended by then, unless its end was lost.
    private static final long LOST_NANOS = 2 * TIMEOUT.toNanos();

    private final BudgetOwners shards;
    private final ScheduledExecutorService timer;
    private final String router;
    private final String incarnation;
    private final boolean direct;
    private final Map<Integer, CompletableFuture<Void>> opened = new ConcurrentHashMap<>();
    // Time at which the running call to a shard was sent.
    private final Map<Integer, Long> callNanos = new ConcurrentHashMap<>();
    private final long processStartNanos;
    private volatile boolean fenced;

    public Sessions(BudgetOwners shards, ScheduledExecutorService timer, String router, String incarnation) {
        this(shards, timer, router, incarnation, false, System.nanoTime());
    }

    /**
     * Creates the sessions.
     *
     * @param direct whether this router calls endpoints without agents, so that only it can report what it spent
     * @param processStartNanos monotonic time at which this process started
     */
    public Sessions(
            BudgetOwners shards,
            ScheduledExecutorService timer,
            String router,
            String incarnation,
            boolean direct,
            long processStartNanos) {
        this.shards = shards;
        this.timer = timer;
        this.router = router;
        this.incarnation = incarnation;
        this.direct = direct;
        this.processStartNanos = processStartNanos;
    }

    /** Opens a session at each shard and retries until all are open. */
    public void open() {
        SingleThreadExecutor.repeat(timer, this::openMissing, 0, RETRY_MS);
    }

    /** Completes when the session at a shard is open. */
    CompletableFuture<Void> whenOpen(int group) {
        return opened.computeIfAbsent(group, g -> new CompletableFuture<>());
    }

    /** Marks the incarnation as fenced, because a shard does not know its session although it was opened. */
    void markFenced() {
        if (!fenced) {
            fenced = true;
            Event.of("router-fenced").with("incarnation", incarnation).warn(LOG);
        }
    }

    String incarnation() {
        return incarnation;
    }

    /** Returns whether this router calls endpoints without agents. */
    boolean isDirect() {
        return direct;
    }

    /** Returns whether the incarnation has been fenced. Only a restart of the router clears this. */
    public boolean isFenced() {
        return fenced;
    }

    /**
     * Closes the sessions.
     *
     * @param awaited agents that may still have usage to report; empty if everything is settled
     */
    void close(List<String> awaited, Duration timeout) {
        CloseSession close = CloseSession.newBuilder()
                .setIncarnation(incarnation)
                .setOrderly(awaited.isEmpty())
                .addAllAwaitedAgents(awaited)
                .build();
        CompletableFuture<?>[] calls = opened.entrySet().stream()
                .filter(e -> e.getValue().isDone())
                .map(e -> shards.send(e.getKey(), ShardCommand.newBuilder().setCloseSession(close), timeout))
                .toArray(CompletableFuture<?>[]::new);
        try {
            CompletableFuture.allOf(calls).get(timeout.toMillis(), TimeUnit.MILLISECONDS);
        } catch (ExecutionException | TimeoutException e) {
            // The shards fence the incarnation later, as after a crash.
            Event.of("session-close-failed").with("incarnation", incarnation).warn(LOG, e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void openMissing() {
        for (int group = 1; group <= shards.count(); group++) {
            if (!whenOpen(group).isDone()) {
                int missing = group;
                SingleThreadExecutor.guarded(() -> openUnlessCalled(missing)).run();
            }
        }
    }

    private void openUnlessCalled(int group) {
        Long since = callNanos.get(group);
        if (since != null) {
            if (System.nanoTime() - since < LOST_NANOS) {
                return;
            }
            Event.of("session-call-lost").with("group", group).warn(LOG);
        }
        open(group);
    }

    private void open(int group) {
        Long now = System.nanoTime();
        callNanos.put(group, now);
        OpenSession open = OpenSession.newBuilder()
                .setRouter(router)
                .setIncarnation(incarnation)
                .setDirect(direct)
                .setUptimeMs((int) TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - processStartNanos))
                .build();
        shards.send(group, ShardCommand.newBuilder().setOpenSession(open), TIMEOUT)
                .whenComplete((result, failure) -> {
                    callNanos.remove(group, now);
                    if (result != null && result.hasSessionOpened()) {
                        whenOpen(group).complete(null);
                    }
                });
    }
}
