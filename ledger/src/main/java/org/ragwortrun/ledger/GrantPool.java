package org.ragwortrun.ledger;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import java.util.stream.Stream;
import org.ragwortrun.core.time.Time;
import org.ragwortrun.ledger.internal.BudgetPool;
import org.ragwortrun.proto.BudgetRef;
import org.ragwortrun.proto.GrantResult;
import org.ragwortrun.proto.GrantTotal;
import org.ragwortrun.proto.ReduceGrants;
import org.ragwortrun.proto.RequestGrant;
import org.ragwortrun.proto.SpendMark;

/**
 * The grants that one router incarnation holds. Requests reserve and spend tokens only from this pool.
 *
 * <p>The pool sends no messages; its methods return the messages that the caller must send to the owner of the budget,
 * the leader of the shard that holds it. The pool is thread-safe, with one lock per budget.
 */
public final class GrantPool {
    private final String incarnation;
    private final Time time;
    private final PoolSettings settings;
    private final AtomicLong ids = new AtomicLong();
    private final Map<BudgetRef, BudgetPool> budgets = new ConcurrentHashMap<>();

    /**
     * Creates an empty pool.
     *
     * @param incarnation incarnation of the router; grant ids start with it
     */
    public GrantPool(String incarnation, Time time, PoolSettings settings) {
        this.incarnation = incarnation;
        this.time = time;
        this.settings = settings;
    }

    /** Reserves tokens for a new request and counts them as demand. */
    public ReserveResult reserve(BudgetRef budget, long tokens) {
        return poolFor(budget).reserve(tokens, true, time.millis());
    }

    /** Reserves tokens for a request that waited for a grant. The tokens have already been counted as demand. */
    public ReserveResult retryReserve(BudgetRef budget, long tokens) {
        return poolFor(budget).reserve(tokens, false, time.millis());
    }

    /** Returns a grant request that refills a budget before its tokens run out, if a refill is due. */
    public Optional<RequestGrant> refill(BudgetRef budget) {
        return poolFor(budget).refill(time.millis());
    }

    /** Returns the declaration of the reserved tokens of a budget. The owner must receive it before requests are sent. */
    public SpendMark spendMark(BudgetRef budget) {
        return poolFor(budget).spendMark(time.millis());
    }

    /** Returns the declarations of all budgets with reservations so far. */
    public List<SpendMark> spendMarks() {
        long now = time.millis();
        return budgets.values().stream()
                .map(b -> b.spendMark(now))
                .filter(m -> m.getTotal() > 0)
                .toList();
    }

    /** Records that the owner has acknowledged declarations. */
    public void acknowledgeMarks(List<SpendMark> marks) {
        long now = time.millis();
        marks.forEach(m -> poolFor(m.getBudget()).acknowledgeMark(now));
    }

    /** Records that the owner has acknowledged the bill of a request. */
    public void acknowledgeBill(BudgetRef budget, long tokens) {
        poolFor(budget).acknowledgeBill(tokens);
    }

    /** Counts a reservation as spent without the owner's acknowledgement, and returns whether this was allowed. */
    public boolean trySpendUnacknowledged(Reservation reservation) {
        return poolFor(reservation.budget()).trySpendUnacknowledged(reservation.tokens(), time.millis());
    }

    /** Returns the retry delay in milliseconds for a request whose reservation may not be spent now. */
    public OptionalLong retryAfterMs(Reservation reservation) {
        return poolFor(reservation.budget()).retryAfterMs(reservation.tokens(), time.millis());
    }

    /** Applies the result of a grant request and returns tokens that must now go back. Duplicates have no effect. */
    public Optional<ReduceGrants> applyGrantResult(RequestGrant request, GrantResult result) {
        return toReduceGrants(poolFor(request.getBudget()).applyGrantResult(request, result, time.millis()));
    }

    /**
     * Ends a reservation. The unused tokens can be reserved again at once.
     *
     * @param used tokens that the usage report deducts from the grant: those used, and those that it returns to the
     *     budget
     */
    public void settle(Reservation reservation, long used) {
        poolFor(reservation.budget()).settle(reservation, used, time.millis());
    }

    /**
     * Ends the reservation of a request that did not run. The reservation must stay open until that is proven, because
     * an agent may still bill the request.
     */
    public void release(Reservation reservation) {
        settle(reservation, 0);
    }

    /** Returns the unused tokens of a budget after a recall by the owner. */
    public Optional<ReduceGrants> recall(BudgetRef budget) {
        return toReduceGrants(poolFor(budget).recall(time.millis()));
    }

    /** Returns the tokens of one budget that must go back to the owner. Call this after a reservation ended. */
    public Optional<ReduceGrants> returnsDue(BudgetRef budget) {
        return toReduceGrants(poolFor(budget).returnsDue(time.millis()));
    }

    /**
     * Returns the tokens of all budgets that must go back because they are idle, their grant is too old, or the budget is
     * scarce. Call this every second.
     */
    public Optional<ReduceGrants> returnsDue() {
        long now = time.millis();
        Optional<ReduceGrants> due = toReduceGrants(collectTotals(b -> b.returnsDue(now)));
        budgets.values().removeIf(b -> b.isEmpty(now));
        return due;
    }

    /** Returns all unused tokens, for an orderly shutdown. */
    public Optional<ReduceGrants> returnAll() {
        long now = time.millis();
        return toReduceGrants(collectTotals(b -> b.recall(now)));
    }

    /** Records that the owner has applied a return of tokens. */
    public void acknowledgeReturns(ReduceGrants message) {
        message.getTotalsList().forEach(t -> poolFor(t.getBudget()).acknowledge(t));
    }

    /** Returns the token returns that the owner has not acknowledged, to be resent. */
    public Optional<ReduceGrants> unacknowledgedReturns() {
        return toReduceGrants(collectTotals(BudgetPool::unacknowledged));
    }

    /** Returns the grant requests that the owner has not answered, to be resent. */
    public List<RequestGrant> unansweredRequests() {
        return budgets.values().stream().flatMap(b -> b.pending().stream()).toList();
    }

    /** Returns the tokens of a budget that can be reserved now. */
    public long free(BudgetRef budget) {
        return poolFor(budget).free(time.millis());
    }

    private BudgetPool poolFor(BudgetRef budget) {
        return budgets.computeIfAbsent(budget, b -> new BudgetPool(b, incarnation, settings, ids::incrementAndGet));
    }

    private Stream<GrantTotal> collectTotals(Function<BudgetPool, List<GrantTotal>> totals) {
        return budgets.values().stream().flatMap(b -> totals.apply(b).stream());
    }

    private Optional<ReduceGrants> toReduceGrants(List<GrantTotal> totals) {
        return toReduceGrants(totals.stream());
    }

    private Optional<ReduceGrants> toReduceGrants(Stream<GrantTotal> totals) {
        List<GrantTotal> all = totals.toList();
        return all.isEmpty()
                ? Optional.empty()
                : Optional.of(ReduceGrants.newBuilder()
                        .setIncarnation(incarnation)
                        .addAllTotals(all)
                        .build());
    }
}
