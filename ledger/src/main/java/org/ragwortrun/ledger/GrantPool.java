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
 * Grants that one router incarnation holds. A request spends only from here.
 *
 * <p>The pool sends nothing itself: its methods return the messages for the owner. It is safe for use by several
 * threads; each budget has its own lock.
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

    /** Reserves tokens for a request that asks for the first time. Its tokens count as demand. */
    public ReserveResult reserve(BudgetRef budget, long tokens) {
        return of(budget).reserve(tokens, true, time.millis());
    }

    /** Reserves tokens for a request that has waited for the owner's answer. */
    public ReserveResult reserveAgain(BudgetRef budget, long tokens) {
        return of(budget).reserve(tokens, false, time.millis());
    }

    /** Returns a request that renews the grants of a budget before they run out, if it is due. */
    public Optional<RequestGrant> refill(BudgetRef budget) {
        return of(budget).refill(time.millis());
    }

    /** Returns what is reserved of a budget, to be declared to the owner before requests are sent. */
    public SpendMark mark(BudgetRef budget) {
        return of(budget).mark(time.millis());
    }

    /** Returns the marks of all budgets of which grants are held. */
    public List<SpendMark> marks() {
        long now = time.millis();
        return budgets.values().stream()
                .map(b -> b.mark(now))
                .filter(m -> m.getTotal() > 0)
                .toList();
    }

    /** Notes that the owner has acknowledged marks. */
    public void marked(List<SpendMark> marks) {
        long now = time.millis();
        marks.forEach(m -> of(m.getBudget()).marked(now));
    }

    /** Notes that the owner has acknowledged the bill of a request. */
    public void billed(BudgetRef budget, long tokens) {
        of(budget).billed(tokens);
    }

    /** Tells whether a reservation may be spent although the owner has not acknowledged it. */
    public boolean spendUnacknowledged(Reservation reservation) {
        return of(reservation.budget()).spendUnacknowledged(reservation.tokens(), time.millis());
    }

    /** Returns after how many milliseconds a request for a reservation that may not be spent now can come back. */
    public OptionalLong unacknowledgedAfter(Reservation reservation) {
        return of(reservation.budget()).unacknowledgedAfter(reservation.tokens(), time.millis());
    }

    /** Takes the owner's answer to a request and returns what is now due to the owner. Copies change nothing. */
    public Optional<ReduceGrants> granted(RequestGrant ask, GrantResult result) {
        return reduce(of(ask.getBudget()).granted(ask, result, time.millis()));
    }

    /**
     * Ends a reservation. The rest can be reserved again at once.
     *
     * @param used tokens that the usage takes off the grant: those used, and those that return to the budget with it
     */
    public void settle(Reservation reservation, long used) {
        of(reservation.budget()).settle(reservation, used, time.millis());
    }

    /**
     * Ends the reservation of a request that did not run. While that is not proved the reservation must stay open,
     * because an agent may still bill it.
     */
    public void release(Reservation reservation) {
        settle(reservation, 0);
    }

    /** Returns the unused tokens of a budget that the owner recalls. */
    public Optional<ReduceGrants> recall(BudgetRef budget) {
        return reduce(of(budget).recall(time.millis()));
    }

    /** Returns what is due of one budget, to be called after a reservation ended. */
    public Optional<ReduceGrants> returnsDue(BudgetRef budget) {
        return reduce(of(budget).due(time.millis()));
    }

    /** Returns what is due of all budgets because it is idle, old or wanted elsewhere. To be called every second. */
    public Optional<ReduceGrants> returnsDue() {
        long now = time.millis();
        Optional<ReduceGrants> due = reduce(each(b -> b.due(now)));
        budgets.values().removeIf(b -> b.isEmpty(now));
        return due;
    }

    /** Returns everything that is unused, for an orderly stop. */
    public Optional<ReduceGrants> returnAll() {
        long now = time.millis();
        return reduce(each(b -> b.recall(now)));
    }

    /** Notes that the owner has applied a message. */
    public void reduced(ReduceGrants message) {
        message.getTotalsList().forEach(t -> of(t.getBudget()).acknowledge(t));
    }

    /** Returns the returns whose receipt the owner has not confirmed, to be sent again. */
    public Optional<ReduceGrants> unacknowledgedReturns() {
        return reduce(each(BudgetPool::unacknowledged));
    }

    /** Returns the requests that the owner has not answered, to be sent again. */
    public List<RequestGrant> unansweredRequests() {
        return budgets.values().stream().flatMap(b -> b.pending().stream()).toList();
    }

    /** Returns the tokens of a budget that can be reserved now. */
    public long free(BudgetRef budget) {
        return of(budget).free(time.millis());
    }

    private BudgetPool of(BudgetRef budget) {
        return budgets.computeIfAbsent(budget, b -> new BudgetPool(b, incarnation, settings, ids::incrementAndGet));
    }

    private Stream<GrantTotal> each(Function<BudgetPool, List<GrantTotal>> totals) {
        return budgets.values().stream().flatMap(b -> totals.apply(b).stream());
    }

    private Optional<ReduceGrants> reduce(List<GrantTotal> totals) {
        return reduce(totals.stream());
    }

    private Optional<ReduceGrants> reduce(Stream<GrantTotal> totals) {
        List<GrantTotal> all = totals.toList();
        return all.isEmpty()
                ? Optional.empty()
                : Optional.of(ReduceGrants.newBuilder()
                        .setIncarnation(incarnation)
                        .addAllTotals(all)
                        .build());
    }
}
