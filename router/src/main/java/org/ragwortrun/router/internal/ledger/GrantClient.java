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
import org.ragwortrun.core.concurrent.Duty;
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
 * Carries the messages of the grant pool to the shards and lets requests wait for more tokens.
 *
 * <p>All messages are idempotent, so each is repeated until its shard has answered. A request is refused as spent only
 * on the owner's word; when the owner does not answer it is refused as unreachable.
 */
public final class GrantClient implements Grants {
    private static final Logger LOG = LogManager.getLogger(GrantClient.class);
    private static final Duration CALL_TIMEOUT = Duration.ofMillis(900);
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);
    // A router that is cut off has others beside it that are not; a caller that comes back at once is served in time.
    private static final Duration RETRY_ELSEWHERE = Duration.ofMillis(50);
    private static final long LONGEST_LATER_MS = 3_000;
    private static final Duration CLOSE_TIMEOUT = Duration.ofSeconds(3);
    private static final long RESEND_MS = 1_000;
    private static final long PAUSE_MS = 30;
    private static final int MAX_PAUSES = 10;
    // A holder answers a recall within one pause; what it has not returned after three is in use or out of reach, and
    // the caller is better told so at once.
    private static final int MOST_HELD_ANSWERS = 3;

    private final GrantPool pool;
    private final Shards shards;
    private final Sessions sessions;
    private final ScheduledExecutorService timer;
    private final Duration timeout;
    private final Supplier<List<String>> agents;
    private final Map<BudgetRef, WaitQueue> queues = new ConcurrentHashMap<>();
    private final BooleanSupplier settled;
    private final HeldReservations held;
    private final AtomicInteger open = new AtomicInteger();
    private final int mostHeldAnswers;
    private volatile BooleanSupplier isHome = () -> false;
    private final @Nullable Declarations declarations;

    /**
     * Creates a client.
     *
     * @param timeout longest time that a request waits for tokens
     * @param agents names of the agents that may have usage of this router
     * @param settled whether the shards have all bills that this router reported
     * @param held receives the reservations whose bill is not known
     */
    public GrantClient(
            GrantPool pool,
            Shards shards,
            Sessions sessions,
            ScheduledExecutorService timer,
            Duration timeout,
            Supplier<List<String>> agents,
            BooleanSupplier settled,
            HeldReservations held) {
        this.pool = pool;
        this.shards = shards;
        this.sessions = sessions;
        this.timer = timer;
        this.timeout = timeout;
        this.agents = agents;
        this.settled = settled;
        this.held = held;
        mostHeldAnswers = sessions.isDirect() ? MOST_HELD_ANSWERS : Integer.MAX_VALUE;
        declarations = sessions.isDirect() ? new Declarations(pool, shards, timer, sessions.incarnation()) : null;
        Duty.repeat(timer, this::maintain, RESEND_MS, RESEND_MS);
    }

    @Override
    public CompletableFuture<Reservation> reserve(BudgetRef budget, long tokens) {
        ReserveResult result = pool.reserve(budget, tokens);
        if (result instanceof ReserveResult.Reserved r) {
            pool.refill(budget).ifPresent(this::ask);
            return declared(r.reservation());
        }
        if (declarations != null && shards.isCutOff()) {
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
        timer.schedule(waiter::expire, timeout.toMillis(), TimeUnit.MILLISECONDS);
        if (result instanceof ReserveResult.NeedMore more) {
            request(more);
        }
        // The answer to an earlier request may have come before the waiter stood in the queue.
        queue.serve(null, null).forEach(this::request);
        return waiter.result;
    }

    /** Hands a reservation over, for a direct router once it is declared. */
    private CompletableFuture<Reservation> declared(org.ragwortrun.ledger.Reservation reservation) {
        Handle handle = new Handle(reservation);
        Declarations d = declarations;
        if (d == null) {
            return CompletableFuture.completedFuture(handle);
        }
        CompletableFuture<Reservation> result = new CompletableFuture<>();
        d.declare(reservation, timeout, allowed -> {
            if (allowed) {
                result.complete(handle);
            } else {
                Duration later = retryAfter(pool.unacknowledgedAfter(reservation));
                handle.release();
                result.completeExceptionally(new RefusedException(Refusal.notRun(
                        RefusalReason.BUDGET_UNREACHABLE,
                        "the owner of the budget is away, and no more may be spent without it now",
                        later)));
            }
        });
        return result;
    }

    @Override
    public void recall(BudgetRef budget) {
        pool.recall(budget).ifPresent(this::reduce);
    }

    /** Sets what tells whether this host reserves for others, which then have no tokens of their own to speak of. */
    public void reservesForOthers(BooleanSupplier condition) {
        isHome = condition;
    }

    /** Returns the number of reservations whose bill is not known. */
    public int heldReservations() {
        return held.size();
    }

    /** Returns what is unused and ends the sessions. What may still be billed is left until the agents confirm. */
    @Override
    public void close() {
        pool.returnAll().ifPresent(message -> await(reduce(message)));
        boolean orderly = open.get() == 0 && settled.getAsBoolean();
        if (orderly || !sessions.isDirect()) {
            sessions.close(orderly ? List.of() : agents.get(), CLOSE_TIMEOUT);
        }
    }

    /** Waits for an answer, so that the connections outlast it. */
    private static void await(CompletableFuture<?> answer) {
        try {
            answer.get(CLOSE_TIMEOUT.toMillis() / 2, TimeUnit.MILLISECONDS);
        } catch (ExecutionException | TimeoutException e) {
            Event.of("grants-not-returned").warn(LOG, e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Tells a caller when this host can serve; where others take reservations for all, no other can sooner. */
    private Duration retryAfter(OptionalLong laterMs) {
        return isHome.getAsBoolean() && shards.isCutOff() && laterMs.isPresent()
                ? Duration.ofMillis(
                        Math.max(RETRY_ELSEWHERE.toMillis(), Math.min(LONGEST_LATER_MS, laterMs.getAsLong())))
                : retryAfter();
    }

    private Duration retryAfter() {
        return shards.isCutOff() ? RETRY_ELSEWHERE : RETRY_AFTER;
    }

    /** Sends what is due, and again what has not been answered. */
    private void maintain() {
        pool.returnsDue();
        pool.unacknowledgedReturns().ifPresent(this::reduce);
        pool.unansweredRequests().forEach(this::ask);
        for (BudgetRef budget : queues.keySet()) {
            queues.computeIfPresent(budget, (b, queue) -> queue.isEmpty() ? null : queue);
        }
    }

    private void request(ReserveResult.NeedMore more) {
        CompletableFuture<?> returned =
                more.giveBack().map(this::reduce).orElse(CompletableFuture.completedFuture(null));
        more.ask().ifPresent(ask -> returned.whenComplete((r, f) -> ask(ask)));
    }

    private void ask(RequestGrant ask) {
        int group = shards.of(ask.getBudget());
        sessions.whenOpen(group)
                .thenCompose(v -> shards.send(group, ShardCommand.newBuilder().setRequestGrant(ask), CALL_TIMEOUT))
                .whenComplete((result, failure) -> {
                    if (result != null && result.hasGrant()) {
                        answered(ask, result.getGrant());
                    }
                });
    }

    private void answered(RequestGrant ask, GrantResult result) {
        Event.of("grant-answered")
                .with("account", ask.getBudget().getAccount())
                .with("minimum", ask.getMinimum())
                .with("wanted", ask.getWanted())
                .with("outcome", result.getOutcome())
                .with("amount", result.getAmount())
                .with("available", result.getAvailable())
                .info(LOG);
        pool.granted(ask, result).ifPresent(this::reduce);
        if (result.getOutcome() == GrantResult.Outcome.UNKNOWN_SESSION) {
            sessions.markFenced();
        }
        WaitQueue queue = queues.get(ask.getBudget());
        if (queue == null) {
            return;
        }
        List<ReserveResult.NeedMore> more = queue.serve(ask, result);
        boolean granted = result.getOutcome() == GrantResult.Outcome.GRANTED;
        for (ReserveResult.NeedMore m : more) {
            if (granted) {
                request(m);
            } else {
                long pause = PAUSE_MS * Math.min(MAX_PAUSES, 1 + queue.heldAnswers());
                timer.schedule(() -> request(m), pause, TimeUnit.MILLISECONDS);
            }
        }
    }

    private CompletableFuture<?> reduce(ReduceGrants message) {
        Map<Integer, List<GrantTotal>> byShard =
                message.getTotalsList().stream().collect(Collectors.groupingBy(t -> shards.of(t.getBudget())));
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
                        pool.reduced(part);
                    }
                });
    }

    /** Serves requests that wait, since tokens of their budget have become free. */
    private void freed(BudgetRef budget) {
        WaitQueue queue = queues.get(budget);
        if (queue != null) {
            queue.serve(null, null).forEach(this::request);
        }
        pool.returnsDue(budget).ifPresent(this::reduce);
    }

    /** What other routers hold of a budget may come back, so only a spent budget is refused for good. */
    private Refusal spent(GrantResult result) {
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
        private int heldAnswers;
        private @Nullable GrantResult heldAnswer;

        Waiter(BudgetRef budget, long tokens) {
            this.budget = budget;
            this.tokens = tokens;
        }

        boolean isOver() {
            return result.isDone();
        }

        /** Gives up: the owner has said that the tokens are held, or has said nothing. */
        void expire() {
            GrantResult answer;
            synchronized (this) {
                answer = heldAnswer;
            }
            refuse(
                    answer == null
                            ? Refusal.notRun(
                                    RefusalReason.BUDGET_UNREACHABLE,
                                    "the owner of the budget did not answer in time",
                                    retryAfter())
                            : spent(answer));
        }

        synchronized int heldAnswers() {
            return heldAnswers;
        }

        private synchronized void noteHeld(GrantResult answer) {
            heldAnswers++;
            heldAnswer = answer;
        }

        void refuse(Refusal refusal) {
            result.completeExceptionally(new RefusedException(refusal));
        }

        /** Takes the owner's answer and returns whether it is final for this request. */
        boolean isFinal(RequestGrant ask, GrantResult answer) {
            if (ask.getMinimum() > tokens) {
                return false;
            }
            if (answer.getOutcome() == GrantResult.Outcome.HELD) {
                // A recall is under way and running requests return what they do not use, so it waits.
                noteHeld(answer);
            }
            return heldAnswers() >= mostHeldAnswers
                    || answer.getOutcome() == GrantResult.Outcome.SPENT
                    || answer.getOutcome() == GrantResult.Outcome.UNKNOWN_BUDGET
                    || answer.getOutcome() == GrantResult.Outcome.UNKNOWN_SESSION;
        }

        Refusal refusal(GrantResult answer) {
            return switch (answer.getOutcome()) {
                case UNKNOWN_SESSION ->
                    Refusal.notRun(
                            RefusalReason.ROUTER_FENCED, "the session of this host has been closed", RETRY_AFTER);
                case UNKNOWN_BUDGET ->
                    Refusal.notRun(
                            RefusalReason.UNKNOWN_BUDGET,
                            "client account " + budget.getAccount() + " has no budget for service "
                                    + budget.getService());
                default -> spent(answer);
            };
        }

        /** Reserves now if possible; returns what to ask for otherwise. */
        Optional<ReserveResult.NeedMore> tryReserve() {
            ReserveResult r = pool.reserveAgain(budget, tokens);
            if (r instanceof ReserveResult.NeedMore more) {
                return Optional.of(more);
            }
            if (r instanceof ReserveResult.Reserved reserved) {
                declared(reserved.reservation()).whenComplete((handle, failure) -> {
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
            waiters.removeIf(Waiter::isOver);
            return waiters.isEmpty();
        }

        /** Returns how often the request that waits longest has heard that the tokens are held. */
        synchronized int heldAnswers() {
            return waiters.isEmpty() ? 0 : waiters.get(0).heldAnswers();
        }

        /** Serves the requests after an answer of the owner, or after tokens became free. */
        synchronized List<ReserveResult.NeedMore> serve(@Nullable RequestGrant ask, @Nullable GrantResult answer) {
            List<ReserveResult.NeedMore> more = new ArrayList<>();
            Iterator<Waiter> all = waiters.iterator();
            while (all.hasNext()) {
                Waiter w = all.next();
                if (w.isOver()) {
                    all.remove();
                    continue;
                }
                Optional<ReserveResult.NeedMore> missing = w.tryReserve();
                if (missing.isEmpty()) {
                    all.remove();
                } else if (ask != null && answer != null && w.isFinal(ask, answer)) {
                    more.add(missing.get());
                    w.refuse(w.refusal(answer));
                    all.remove();
                } else {
                    more.add(missing.get());
                }
            }
            return more;
        }
    }

    /** A reservation that is ended once. */
    private final class Handle implements Reservation {
        private final org.ragwortrun.ledger.Reservation reservation;
        private final AtomicBoolean ended = new AtomicBoolean();

        Handle(org.ragwortrun.ledger.Reservation reservation) {
            this.reservation = reservation;
            open.incrementAndGet();
        }

        @Override
        public String grantId() {
            return reservation.grantId();
        }

        @Override
        public void settle(long tokens) {
            if (ended.compareAndSet(false, true)) {
                open.decrementAndGet();
                pool.settle(reservation, Math.min(tokens, reservation.tokens()));
                freed(reservation.budget());
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
