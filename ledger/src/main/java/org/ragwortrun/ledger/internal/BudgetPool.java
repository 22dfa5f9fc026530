package org.ragwortrun.ledger.internal;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;
import org.ragwortrun.ledger.PoolSettings;
import org.ragwortrun.ledger.Reservation;
import org.ragwortrun.ledger.ReserveResult;
import org.ragwortrun.proto.BudgetRef;
import org.ragwortrun.proto.GrantResult;
import org.ragwortrun.proto.GrantTotal;
import org.ragwortrun.proto.ReduceGrants;
import org.ragwortrun.proto.RequestGrant;
import org.ragwortrun.proto.SpendMark;

/**
 * Grants that one router incarnation holds of one budget. Each method takes the lock of this budget only.
 *
 * <p>Demand is what requests use, not what they reserve, because the unused part of a reservation comes back. It is
 * counted over five spans, since the use during one span varies too much when an account sends few requests. One mean
 * reservation comes on top, so that a single request finds room.
 */
public final class BudgetPool {
    private static final int USE_SPANS = 5;
    private static final int MEAN_WEIGHT = 16;

    // A pool holds from a half to one and a half grants. With one to two, a router that is cut off kept a fifth more
    // tokens from the others, and refused hardly fewer requests during its last lease.
    private static final int REFILL_DIVISOR = 2;

    // A pool that must outlast a cut is renewed early, because the cut may come at any moment.
    private static final double REFILL_PART = 0.85;

    // Span of demand that may be spent at once without an acknowledgement. It is lost with each router, and a client
    // account that ends the day 3 % below its amount has callers refused without need.
    private static final long BURST_MS = 1_000;

    // Demand of single routers is bursty. A higher rate costs more tokens when a router is lost.
    private static final double UNACKNOWLEDGED_RATE = 1.5;

    private final BudgetRef budget;
    private final String incarnation;
    private final PoolSettings settings;
    private final LongSupplier ids;
    private final DemandMeter use;
    private final Map<String, PooledGrant> grants = new LinkedHashMap<>();
    private final Map<Long, Reservation> reservations = new LinkedHashMap<>();
    private @Nullable RequestGrant pending;
    private double meanReservation;
    private int seen;
    private long lastSpendMs;
    private long firstSpendMs = Long.MIN_VALUE;
    private long tightUntilMs = Long.MIN_VALUE;
    private long reservedTotal;
    private long unbilled;
    // Spending without an acknowledgement, within bounds that the owner knows: tokens per millisecond, tokens at once.
    private double rate;
    private long burst;
    private long spentSilently;
    // What those who were told when to come back will ask for.
    private long promised;
    private long acknowledgedMs = Long.MIN_VALUE;

    public BudgetPool(BudgetRef budget, String incarnation, PoolSettings settings, LongSupplier ids) {
        this.budget = budget;
        this.incarnation = incarnation;
        this.settings = settings;
        this.ids = ids;
        this.use = new DemandMeter(settings.demandMs() * USE_SPANS);
    }

    /** Reserves from the oldest grant that suffices, or tells what to send to the owner. */
    public synchronized ReserveResult reserve(long tokens, boolean first, long nowMs) {
        lastSpendMs = nowMs;
        if (firstSpendMs == Long.MIN_VALUE) {
            firstSpendMs = nowMs;
        }
        if (first && settings.isOutlasting()) {
            use.add(tokens, nowMs);
        }
        if (first) {
            seen = Math.min(seen + 1, MEAN_WEIGHT);
            meanReservation += (tokens - meanReservation) / seen;
        }
        for (PooledGrant g : grants.values()) {
            if (g.free() >= tokens && isFresh(g, nowMs)) {
                g.reserve(tokens);
                Reservation r = new Reservation(ids.getAsLong(), budget, g.id(), tokens);
                reservations.put(r.id(), r);
                reservedTotal += tokens;
                return new ReserveResult.Reserved(r);
            }
        }
        if (pending != null) {
            return new ReserveResult.NeedMore(Optional.empty(), Optional.empty());
        }
        Optional<ReduceGrants> giveBack = isTight(nowMs) ? giveBack() : Optional.empty();
        return new ReserveResult.NeedMore(giveBack, Optional.of(ask(tokens, nowMs)));
    }

    /** Returns a request that renews the grants before they run out, if it is due. */
    public synchronized Optional<RequestGrant> refill(long nowMs) {
        long target = target(nowMs);
        double least = settings.isOutlasting() ? REFILL_PART : 1.0 / REFILL_DIVISOR;
        boolean due = pending == null && !isTight(nowMs) && target > 0 && free(nowMs) < target * least;
        return due ? Optional.of(ask(0, nowMs)) : Optional.empty();
    }

    /** Returns what is reserved, to be declared to the owner before requests are sent. */
    public synchronized SpendMark mark(long nowMs) {
        long open =
                reservations.values().stream().mapToLong(Reservation::tokens).sum();
        return SpendMark.newBuilder()
                .setBudget(budget)
                .setReserved(open + unbilled)
                .setTotal(reservedTotal)
                .setAgeMs(acknowledgedMs == Long.MIN_VALUE ? 0 : (int) (nowMs - acknowledgedMs))
                .build();
    }

    /** Notes that the owner has acknowledged a mark, so that it knows of all reservations up to then. */
    public synchronized void marked(long nowMs) {
        spentSilently = 0;
        promised = 0;
        acknowledgedMs = nowMs;
    }

    /** Notes that the owner has acknowledged the bill of a request. */
    public synchronized void billed(long tokens) {
        unbilled = Math.max(0, unbilled - tokens);
    }

    /**
     * Tells whether a reservation may be spent although the owner has not acknowledged it. The owner counts on no more
     * than the burst and the rate of the last request that it answered.
     */
    public synchronized boolean spendUnacknowledged(long tokens, long nowMs) {
        if (acknowledgedMs == Long.MIN_VALUE) {
            return false;
        }
        long silentMs = Math.max(0, nowMs - acknowledgedMs - SpendTerms.SILENT_MS);
        if (spentSilently + tokens > burst + rate * silentMs) {
            return false;
        }
        spentSilently += tokens;
        promised = Math.max(0, promised - tokens);
        return true;
    }

    /**
     * Returns after how many milliseconds a request that may not be spent now can come back, if the owner stays silent.
     * Each request that is told a time counts before the next one, so that their returns are spread.
     */
    public synchronized OptionalLong unacknowledgedAfter(long tokens, long nowMs) {
        if (acknowledgedMs == Long.MIN_VALUE || rate <= 0) {
            return OptionalLong.empty();
        }
        promised += tokens;
        double earnedMs = Math.max(0, spentSilently + promised - burst) / rate;
        long at = acknowledgedMs + SpendTerms.SILENT_MS + (long) Math.ceil(earnedMs);
        return OptionalLong.of(Math.max(0, at - nowMs));
    }

    /** Returns the tokens that the pool should hold: those of its demand over a span, and one request's. */
    private long target(long nowMs) {
        if (!settings.isOutlasting()) {
            return use.sum(nowMs) / USE_SPANS + (long) meanReservation;
        }
        long spanMs = settings.demandMs() * USE_SPANS;
        long seenMs = Math.max(settings.demandMs(), Math.min(spanMs, nowMs - firstSpendMs));
        return (long) (use.sum(nowMs) * ((double) settings.holdMs() / seenMs)) + (long) meanReservation;
    }

    private RequestGrant ask(long minimum, long nowMs) {
        long target = target(nowMs);
        boolean outlasting = settings.isOutlasting();
        RequestGrant ask = RequestGrant.newBuilder()
                .setBudget(budget)
                .setIncarnation(incarnation)
                .setGrantId(GrantIds.of(incarnation, ids.getAsLong()))
                .setMinimum(minimum)
                .setWanted(Math.max(minimum, outlasting ? target - free(nowMs) : target))
                .setTarget(outlasting ? Math.max(1, target) : 0)
                .setTargetMs(outlasting ? (int) (settings.holdMs() / UNACKNOWLEDGED_RATE) : 0)
                .setBurst(outlasting ? target * BURST_MS / settings.holdMs() : 0)
                .build();
        pending = ask;
        // The owner may count on the new rate from now on, although its answer is not here yet.
        rate = Math.min(rate, rate(ask));
        return ask;
    }

    private static double rate(RequestGrant ask) {
        return ask.getTargetMs() == 0 ? 0 : (double) ask.getTarget() / ask.getTargetMs();
    }

    /**
     * Takes the owner's answer and returns the parts of older grants that were too small for the request. Kept, such
     * parts add up to more than the demand. They stay until the owner has answered, because a router that is cut off
     * still serves smaller requests from them. The answer to any other request than the pending one changes nothing.
     */
    public synchronized List<GrantTotal> granted(RequestGrant ask, GrantResult result, long nowMs) {
        RequestGrant awaited = pending;
        if (awaited == null || !awaited.getGrantId().equals(ask.getGrantId())) {
            return List.of();
        }
        pending = null;
        rate = rate(ask);
        if (acknowledgedMs == Long.MIN_VALUE) {
            acknowledgedMs = nowMs;
        }
        burst = Math.max(burst, ask.getBurst());
        boolean less = result.getAmount() < ask.getWanted() && !settings.isOutlasting();
        if (result.getOutcome() != GrantResult.Outcome.GRANTED || less) {
            tightUntilMs = nowMs + settings.tightMs();
        } else {
            tightUntilMs = Long.MIN_VALUE;
        }
        List<GrantTotal> fragments = result.getAmount() > 0 ? returnFree(g -> g.free() < ask.getMinimum()) : List.of();
        if (result.getOutcome() == GrantResult.Outcome.GRANTED && result.getAmount() > 0) {
            grants.put(ask.getGrantId(), new PooledGrant(ask.getGrantId(), result.getAmount(), nowMs));
        }
        return fragments;
    }

    /** Ends a reservation; the unused part is free again. Ending it twice changes nothing. */
    public synchronized void settle(Reservation reservation, long used, long nowMs) {
        Reservation open = reservations.remove(reservation.id());
        PooledGrant grant = grants.get(reservation.grantId());
        if (open == null || grant == null) {
            return;
        }
        long spent = Math.max(0, Math.min(used, open.tokens()));
        if (!settings.isOutlasting()) {
            use.add(spent, nowMs);
        } else {
            unbilled += spent;
        }
        grant.settle(open.tokens(), spent);
        removeDone();
    }

    /** Returns all that is free, because the owner needs it. */
    public synchronized List<GrantTotal> recall(long nowMs) {
        tightUntilMs = nowMs + settings.tightMs();
        if (settings.isOutlasting() && free(nowMs) > 2 * meanReservation) {
            return returnHalf();
        }
        return returnFree(g -> true);
    }

    /** Returns about half of what is free, so that a recall does not leave this router without for the next cut. */
    private List<GrantTotal> returnHalf() {
        return grants.values().stream()
                .filter(g -> g.returnPart(g.free() / 2))
                .map(this::total)
                .toList();
    }

    /**
     * Returns what is due: all that is free if the budget is idle, what is free in old grants, and while the budget is
     * tight what requests have left over. A new grant waits for the request that asked for it.
     */
    public synchronized List<GrantTotal> due(long nowMs) {
        boolean idle = nowMs - lastSpendMs >= settings.idleMs();
        boolean tight = isTight(nowMs);
        return returnFree(g -> idle || tight && g.isTouched() || !isFresh(g, nowMs));
    }

    /** Returns the totals whose receipt the owner has not confirmed. */
    public synchronized List<GrantTotal> unacknowledged() {
        return grants.values().stream()
                .filter(PooledGrant::isReturnUnacknowledged)
                .map(this::total)
                .toList();
    }

    public synchronized void acknowledge(GrantTotal total) {
        PooledGrant grant = grants.get(total.getGrantId());
        if (grant != null) {
            grant.acknowledge(total.getReturnedTotal());
            removeDone();
        }
    }

    /** Returns the request that the owner has not answered. Sending it again is harmless. */
    public synchronized Optional<RequestGrant> pending() {
        return Optional.ofNullable(pending);
    }

    /** Returns the tokens that can be reserved now. */
    public synchronized long free(long nowMs) {
        return grants.values().stream()
                .filter(g -> isFresh(g, nowMs))
                .mapToLong(PooledGrant::free)
                .sum();
    }

    /** Tells whether this budget can be forgotten: it holds nothing and awaits nothing. */
    public synchronized boolean isEmpty(long nowMs) {
        return pending == null && grants.isEmpty() && nowMs - lastSpendMs >= settings.idleMs();
    }

    private boolean isTight(long nowMs) {
        return nowMs < tightUntilMs;
    }

    private boolean isFresh(PooledGrant g, long nowMs) {
        return nowMs - g.issuedMs() < settings.grantAgeMs();
    }

    private Optional<ReduceGrants> giveBack() {
        List<GrantTotal> totals = returnFree(g -> true);
        return totals.isEmpty()
                ? Optional.empty()
                : Optional.of(ReduceGrants.newBuilder()
                        .setIncarnation(incarnation)
                        .addAllTotals(totals)
                        .build());
    }

    private List<GrantTotal> returnFree(Predicate<PooledGrant> condition) {
        return grants.values().stream()
                .filter(condition)
                .filter(PooledGrant::returnFree)
                .map(this::total)
                .toList();
    }

    private GrantTotal total(PooledGrant g) {
        return GrantTotal.newBuilder()
                .setBudget(budget)
                .setGrantId(g.id())
                .setReturnedTotal(g.returned())
                .build();
    }

    private void removeDone() {
        grants.values().removeIf(PooledGrant::isDone);
    }
}
