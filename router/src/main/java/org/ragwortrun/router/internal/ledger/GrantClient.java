package org.ragwortrun.router.internal.ledger;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jspecify.annotations.Nullable;
import org.ragwortrun.core.concurrent.SingleThreadExecutor;
import org.ragwortrun.core.log.Event;
import org.ragwortrun.core.refusal.Refusal;
import org.ragwortrun.core.refusal.RefusalReason;
import org.ragwortrun.core.refusal.RefusedException;
import org.ragwortrun.ledger.GrantPool;
import org.ragwortrun.ledger.ReserveResult;
import org.ragwortrun.proto.BudgetRef;
import org.ragwortrun.proto.GrantResult;
import org.ragwortrun.proto.GrantTotal;
import org.ragwortrun.proto.ReduceGrants;
import org.ragwortrun.proto.RequestGrant;
import org.ragwortrun.proto.ShardCommand;

/**
 * Sends the messages of the grant pool to the shards and lets requests wait for more tokens.
 *
 * <p>All messages are idempotent and are retried until the shard answers. A request is refused with
 * {@code BUDGET_SPENT} only if the owner of the budget says so; if the owner does not answer, it is refused with
 * {@code BUDGET_UNREACHABLE}.
 */
public final class GrantClient implements Grants {
    private static final Logger LOG = LogManager.getLogger(GrantClient.class);
    private static final Duration CALL_TIMEOUT = Duration.ofMillis(900);
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);
    // While this router is partitioned, others may still reach the owner, so a caller should retry at once.
    private static final Duration RETRY_ELSEWHERE = Duration.ofMillis(50);
    private static final long MAX_RETRY_AFTER_MS = 3_000;
    private static final Duration CLOSE_TIMEOUT = Duration.ofSeconds(3);
    private static final long RESEND_MS = 1_000;
    private static final long RETRY_DELAY_MS = 30;
    private static final int MAX_RETRY_DELAY_FACTOR = 10;
    // A router returns recalled tokens within one retry delay. Tokens that are not returned after three are in use or
    // held by an unreachable router, so the request is refused at once.
    private static final int MAX_HELD_RESULTS = 3;

    private final GrantPool pool;
    private final Shards shards;
    private final Sessions sessions;
    private final ScheduledExecutorService timer;
    private final Duration timeout;
    private final Supplier<List<String>> agents;
    private final Map<BudgetRef, WaitQueue> queues = new ConcurrentHashMap<>();
    private final BooleanSupplier allBillsSettled;
    private final HeldReservations held;
    private final AtomicInteger openReservations = new AtomicInteger();
    private final int maxHeldResults;
    private volatile BooleanSupplier usesHomes = () -> false;
    private final @Nullable ReservationDeclarer declarer;

    /**
     * Creates a client.
     *
     * @param timeout maximum time that a request waits for tokens
     * @param agents names of the agents that may have usage of this router to report
     * @param allBillsSettled whether the shards have acknowledged all bills that this router reported
     * @param held receives the reservations whose bill is not known
     */
    public GrantClient(
            GrantPool pool,
            Shards shards,
            Sessions sessions,
            ScheduledExecutorService timer,
            Duration timeout,
            Supplier<List<String>> agents,
            BooleanSupplier allBillsSettled,
            HeldReservations held) {
        this.pool = pool;
        this.shards = shards;
        this.sessions = sessions;
        this.timer = timer;
        this.timeout = timeout;
        this.agents = agents;
        this.allBillsSettled = allBillsSettled;
        this.held = held;
        maxHeldResults = sessions.isDirect() ? MAX_HELD_RESULTS : Integer.MAX_VALUE;
        declarer = sessions.isDirect() ? new ReservationDeclarer(pool, shards, timer, sessions.incarnation()) : null;
        SingleThreadExecutor.repeat(timer, this::maintain, RESEND_MS, RESEND_MS);
    }

    @Override
    public CompletableFuture<Reservation> reserve(BudgetRef budget, long tokens) {
        ReserveResult result = pool.reserve(budget, tokens);
        if (result instanceof ReserveResult.Reserved r) {
            pool.refill(budget).ifPresent(this::sendGrantRequest);
            return declare(r.reservation());
        }
        if (declarer != null && shards.isPartitioned()) {
            return CompletableFuture.failedFuture(new RefusedException(Refusal.notRun(
                    RefusalReason.BUDGET_UNREACHABLE,
                    "the grants of this host do not suffice, and it is cut off from the owner of the budget",
                    RETRY_ELSEWHERE)));
        }
        Waiter waiter = new Waiter(budget, tokens);
        WaitQueue queue = queues.compute(budget, (b, known) -> {
            WaitQueue l = known == null ? new WaitQueue() : known;
            l.add(waiter);
            return l;
        });
        timer.schedule(waiter::onTimeout, timeout.toMillis(), TimeUnit.MILLISECONDS);
        if (result instanceof ReserveResult.GrantNeeded more) {
            requestGrant(more);
        }
        // The result of an earlier grant request may have arrived before the waiter was queued.
        queue.serve(null, null).forEach(this::requestGrant);
        return waiter.result;
    }

    /** Completes with the reservation, which a direct router declares first. */
    private CompletableFuture<Reservation> declare(org.ragwortrun.ledger.Reservation reservation) {
        Handle handle = new Handle(reservation);
        ReservationDeclarer d = declarer;
        if (d == null) {
            return CompletableFuture.completedFuture(handle);
        }
        CompletableFuture<Reservation> result = new CompletableFuture<>();
        d.declare(reservation, timeout, allowed -> {
            if (allowed) {
                result.complete(handle);
            } else {
                Duration delay = retryAfter(pool.retryAfterMs(reservation));
                handle.release();
                result.completeExceptionally(new RefusedException(Refusal.notRun(
                        RefusalReason.BUDGET_UNREACHABLE,
                        "the owner of the budget cannot be reached, and nothing more may be spent without it now",
                        delay)));
            }
        });
        return result;
    }

    @Override
    public void recall(BudgetRef budget) {
        pool.recall(budget).ifPresent(this::reduce);
    }

    /** Sets the check for whether routers reserve at homes, in which case other routers hold few grants themselves. */
    public void useHomesIf(BooleanSupplier condition) {
        usesHomes = condition;
    }

    /** Returns the number of reservations whose bill is not known. */
    public int heldReservations() {
        return held.size();
    }

    /**
     * Returns unused tokens and closes the sessions. Tokens that may still be billed are not returned until the agents
     * confirm what was used.
     */
    @Override
    public void close() {
        pool.returnAll().ifPresent(message -> await(reduce(message)));
        boolean orderly = openReservations.get() == 0 && allBillsSettled.getAsBoolean();
        if (orderly || !sessions.isDirect()) {
            sessions.close(orderly ? List.of() : agents.get(), CLOSE_TIMEOUT);
        }
    }

    /** Waits for the reply, so that the connections are not closed before it arrives. */
    private static void await(CompletableFuture<?> reply) {
        try {
            reply.get(CLOSE_TIMEOUT.toMillis() / 2, TimeUnit.MILLISECONDS);
        } catch (ExecutionException | TimeoutException e) {
            Event.of("grants-not-returned").warn(LOG, e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Returns when the caller should retry. With homes, a partitioned host returns the time until it can serve the
     * request itself, since no other router can do so sooner.
     */
    private Duration retryAfter(OptionalLong laterMs) {
        return usesHomes.getAsBoolean() && shards.isPartitioned() && laterMs.isPresent()
                ? Duration.ofMillis(
                        Math.max(RETRY_ELSEWHERE.toMillis(), Math.min(MAX_RETRY_AFTER_MS, laterMs.getAsLong())))
                : retryAfter();
    }

    private Duration retryAfter() {
        return shards.isPartitioned() ? RETRY_ELSEWHERE : RETRY_AFTER;
    }

    /** Sends due returns and resends messages that have not been answered. */
    private void maintain() {
        pool.returnsDue();
        pool.unacknowledgedReturns().ifPresent(this::reduce);
        pool.unansweredRequests().forEach(this::sendGrantRequest);
        for (BudgetRef budget : queues.keySet()) {
            queues.computeIfPresent(budget, (b, queue) -> queue.isEmpty() ? null : queue);
        }
    }

    private void requestGrant(ReserveResult.GrantNeeded more) {
        CompletableFuture<?> returned =
                more.returns().map(this::reduce).orElse(CompletableFuture.completedFuture(null));
        more.request().ifPresent(request -> returned.whenComplete((r, f) -> sendGrantRequest(request)));
    }

    private void sendGrantRequest(RequestGrant request) {
        int group = shards.groupOf(request.getBudget());
        sessions.whenOpen(group)
                .thenCompose(v -> shards.send(group, ShardCommand.newBuilder().setRequestGrant(request), CALL_TIMEOUT))
                .whenComplete((result, failure) -> {
                    if (result != null && result.hasGrant()) {
                        onGrantResult(request, result.getGrant());
                    }
                });
    }

    private void onGrantResult(RequestGrant request, GrantResult result) {
        Event.of("grant-answered")
                .with("account", request.getBudget().getAccount())
                .with("minimum", request.getMinimum())
                .with("wanted", request.getWanted())
                .with("outcome", result.getOutcome())
                .with("amount", result.getAmount())
                .with("available", result.getAvailable())
                .info(LOG);
        pool.applyGrantResult(request, result).ifPresent(this::reduce);
        if (result.getOutcome() == GrantResult.Outcome.UNKNOWN_SESSION) {
            sessions.markFenced();
        }
        WaitQueue queue = queues.get(request.getBudget());
        if (queue == null) {
            return;
        }
        List<ReserveResult.GrantNeeded> more = queue.serve(request, result);
        boolean granted = result.getOutcome() == GrantResult.Outcome.GRANTED;
        for (ReserveResult.GrantNeeded m : more) {
            if (granted) {
                requestGrant(m);
            } else {
                long delayMs = RETRY_DELAY_MS * Math.min(MAX_RETRY_DELAY_FACTOR, 1 + queue.heldResultCount());
                timer.schedule(() -> requestGrant(m), delayMs, TimeUnit.MILLISECONDS);
            }
        }
    }

    private CompletableFuture<?> reduce(ReduceGrants message) {
        Map<Integer, List<GrantTotal>> byShard =
                message.getTotalsList().stream().collect(Collectors.groupingBy(t -> shards.groupOf(t.getBudget())));
        return CompletableFuture.allOf(byShard.entrySet().stream()
                .map(e -> reduce(
                        e.getKey(),
                        ReduceGrants.newBuilder()
                                .setIncarnation(message.getIncarnation())
                                .addAllTotals(e.getValue())
                                .build()))
                .toArray(CompletableFuture<?>[]::new));
    }

    private CompletableFuture<?> reduce(int group, ReduceGrants part) {
        return shards.send(group, ShardCommand.newBuilder().setReduceGrants(part), CALL_TIMEOUT)
                .whenComplete((result, failure) -> {
                    if (result != null && result.hasGrantsReduced()) {
                        pool.acknowledgeReturns(part);
                    }
                });
    }

    /** Serves waiting requests after tokens of their budget have become free. */
    private void onTokensFreed(BudgetRef budget) {
        WaitQueue queue = queues.get(budget);
        if (queue != null) {
            queue.serve(null, null).forEach(this::requestGrant);
        }
        pool.returnsDue(budget).ifPresent(this::reduce);
    }

    /** Returns the refusal for a budget without enough tokens, with a retry time if other routers may return some. */
    private Refusal insufficientBudget(GrantResult result) {
        return result.getOutcome() == GrantResult.Outcome.HELD && sessions.isDirect()
                ? Refusal.notRun(
                        RefusalReason.BUDGET_HELD,
                        "the rest of the budget is held by other routers; available: " + result.getAvailable(),
                        RETRY_AFTER)
                : Refusal.notRun(
                        RefusalReason.BUDGET_SPENT,
                        result.getOutcome() == GrantResult.Outcome.HELD
                                ? "the rest of the budget is held by other requests; available: "
                                        + result.getAvailable()
                                : "the budget is spent; available: " + result.getAvailable());
    }

    /** A request that waits for tokens. */
    private final class Waiter {
        private final BudgetRef budget;
        private final long tokens;
        private final CompletableFuture<Reservation> result = new CompletableFuture<>();
        private int heldResultCount;
        private @Nullable GrantResult lastHeldResult;

        Waiter(BudgetRef budget, long tokens) {
            this.budget = budget;
            this.tokens = tokens;
        }

        boolean isDone() {
            return result.isDone();
        }

        /** Refuses the request because the owner has answered only that the tokens are held, or not at all. */
        void onTimeout() {
            GrantResult last;
            synchronized (this) {
                last = lastHeldResult;
            }
            refuse(
                    last == null
                            ? Refusal.notRun(
                                    RefusalReason.BUDGET_UNREACHABLE,
                                    "the owner of the budget did not answer in time",
                                    retryAfter())
                            : insufficientBudget(last));
        }

        synchronized int heldResultCount() {
            return heldResultCount;
        }

        private synchronized void recordHeldResult(GrantResult grantResult) {
            heldResultCount++;
            lastHeldResult = grantResult;
        }

        void refuse(Refusal refusal) {
            result.completeExceptionally(new RefusedException(refusal));
        }

        /** Records a grant result and returns whether it is final for this request. */
        boolean recordResult(RequestGrant request, GrantResult grantResult) {
            if (request.getMinimum() > tokens) {
                return false;
            }
            if (grantResult.getOutcome() == GrantResult.Outcome.HELD) {
                // The request waits, since tokens are being recalled and running requests return what they do not use.
                recordHeldResult(grantResult);
            }
            return heldResultCount() >= maxHeldResults
                    || grantResult.getOutcome() == GrantResult.Outcome.SPENT
                    || grantResult.getOutcome() == GrantResult.Outcome.UNKNOWN_BUDGET
                    || grantResult.getOutcome() == GrantResult.Outcome.UNKNOWN_SESSION;
        }

        Refusal refusal(GrantResult grantResult) {
            return switch (grantResult.getOutcome()) {
                case UNKNOWN_SESSION ->
                    Refusal.notRun(
                            RefusalReason.ROUTER_FENCED, "the session of this host has been closed", RETRY_AFTER);
                case UNKNOWN_BUDGET ->
                    Refusal.notRun(
                            RefusalReason.UNKNOWN_BUDGET,
                            "client account " + budget.getAccount() + " has no budget for service "
                                    + budget.getService());
                default -> insufficientBudget(grantResult);
            };
        }

        /** Reserves now if possible; otherwise returns the grant that is needed. */
        Optional<ReserveResult.GrantNeeded> tryReserve() {
            ReserveResult r = pool.retryReserve(budget, tokens);
            if (r instanceof ReserveResult.GrantNeeded more) {
                return Optional.of(more);
            }
            if (r instanceof ReserveResult.Reserved reserved) {
                declare(reserved.reservation()).whenComplete((handle, failure) -> {
                    if (handle == null) {
                        result.completeExceptionally(failure);
                    } else if (!result.complete(handle)) {
                        handle.release();
                    }
                });
            }
            return Optional.empty();
        }
    }

    /** The requests that wait for tokens of one budget, in the order of their arrival. */
    private static final class WaitQueue {
        private final List<Waiter> waiters = new ArrayList<>();

        synchronized void add(Waiter waiter) {
            waiters.add(waiter);
        }

        synchronized boolean isEmpty() {
            waiters.removeIf(Waiter::isDone);
            return waiters.isEmpty();
        }

        /** Returns the number of results for the longest waiting request which said that the tokens are held. */
        synchronized int heldResultCount() {
            return waiters.isEmpty() ? 0 : waiters.get(0).heldResultCount();
        }

        /** Serves the requests after a grant result, or after tokens became free. */
        synchronized List<ReserveResult.GrantNeeded> serve(
                @Nullable RequestGrant request, @Nullable GrantResult result) {
            List<ReserveResult.GrantNeeded> more = new ArrayList<>();
            Iterator<Waiter> all = waiters.iterator();
            while (all.hasNext()) {
                Waiter w = all.next();
                if (w.isDone()) {
                    all.remove();
                    continue;
                }
                Optional<ReserveResult.GrantNeeded> missing = w.tryReserve();
                if (missing.isEmpty()) {
                    all.remove();
                } else if (request != null && result != null && w.recordResult(request, result)) {
                    more.add(missing.get());
                    w.refuse(w.refusal(result));
                    all.remove();
                } else {
                    more.add(missing.get());
                }
            }
            return more;
        }
    }

    /** A reservation that can be ended only once. */
    private final class Handle implements Reservation {
        private final org.ragwortrun.ledger.Reservation reservation;
        private final AtomicBoolean ended = new AtomicBoolean();

        Handle(org.ragwortrun.ledger.Reservation reservation) {
            this.reservation = reservation;
            openReservations.incrementAndGet();
        }

        @Override
        public String grantId() {
            return reservation.grantId();
        }

        @Override
        public void settle(long tokens) {
            if (ended.compareAndSet(false, true)) {
                openReservations.decrementAndGet();
                pool.settle(reservation, Math.min(tokens, reservation.tokens()));
                onTokensFreed(reservation.budget());
            }
        }

        @Override
        public void release() {
            settle(0);
        }

        @Override
        public void hold(String requestId) {
            held.add(reservation.budget(), requestId, this);
        }
    }
}
