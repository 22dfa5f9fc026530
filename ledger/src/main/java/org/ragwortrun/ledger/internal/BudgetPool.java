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
    private static final int DEMAND_SPANS = 5;
    private static final int MAX_MEAN_SAMPLES = 16;

    // A pool holds from a half to one and a half grants. With one to two, a router that is cut off kept a fifth more
    // tokens from the others, and refused hardly fewer requests during its last lease.
    private static final int REFILL_DIVISOR = 2;

    // A pool that must outlast a cut is renewed early, because the cut may come at any moment.
    private static final double EARLY_REFILL_FRACTION = 0.85;

    // Span of demand that may be spent at once without an acknowledgement. It is lost with each router, and a client
    // account that ends the day 3 % below its amount has callers refused without need.
    private static final long BURST_MS = 1_000;

    // Demand of single routers is bursty. A higher rate costs more tokens when a router is lost.
    private static final double UNACKNOWLEDGED_RATE_FACTOR = 1.5;

    private final BudgetRef budget;
    private final String incarnation;
    private final PoolSettings settings;
    private final LongSupplier ids;
    private final DemandMeter demand;
    private final Map<String, PooledGrant> grants = new LinkedHashMap<>();
    private final Map<Long, Reservation> reservations = new LinkedHashMap<>();
    private @Nullable RequestGrant pending;
    private double meanReservation;
    private int reservationSamples;
    private long lastSpendMs;
    private long firstSpendMs = Long.MIN_VALUE;
    private long scarceUntilMs = Long.MIN_VALUE;
    private long reservedTotal;
    private long unbilled;
    // Spending without an acknowledgement, within bounds that the owner knows: tokens per millisecond, tokens at once.
    private double unacknowledgedRate;
    private long burst;
    private long spentUnacknowledged;
    // What those who were told when to come back will ask for.
    private long deferredTokens;
    private long acknowledgedMs = Long.MIN_VALUE;

    public BudgetPool(BudgetRef budget, String incarnation, PoolSettings settings, LongSupplier ids) {
        this.budget = budget;
        this.incarnation = incarnation;
        this.settings = settings;
        this.ids = ids;
        this.demand = new DemandMeter(settings.demandMs() * DEMAND_SPANS);
    }

    /** Reserves from the oldest grant that suffices, or tells what to send to the owner. */
    public synchronized ReserveResult reserve(long tokens, boolean first, long nowMs) {
        lastSpendMs = nowMs;
        if (firstSpendMs == Long.MIN_VALUE) {
            firstSpendMs = nowMs;
        }
        if (first && settings.isPartitionTolerant()) {
            demand.add(tokens, nowMs);
        }
        if (first) {
            reservationSamples = Math.min(reservationSamples + 1, MAX_MEAN_SAMPLES);
            meanReservation += (tokens - meanReservation) / reservationSamples;
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
        Optional<ReduceGrants> giveBack = isScarce(nowMs) ? returnAllFree() : Optional.empty();
        return new ReserveResult.NeedMore(giveBack, Optional.of(createRequest(tokens, nowMs)));
    }

    /** Returns a request that renews the grants before they run out, if it is due. */
    public synchronized Optional<RequestGrant> refill(long nowMs) {
        long target = target(nowMs);
        double least = settings.isPartitionTolerant() ? EARLY_REFILL_FRACTION : 1.0 / REFILL_DIVISOR;
        boolean due = pending == null && !isScarce(nowMs) && target > 0 && free(nowMs) < target * least;
        return due ? Optional.of(createRequest(0, nowMs)) : Optional.empty();
    }

    /** Returns what is reserved, to be declared to the owner before requests are sent. */
    public synchronized SpendMark spendMark(long nowMs) {
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
    public synchronized void acknowledgeMark(long nowMs) {
        spentUnacknowledged = 0;
        deferredTokens = 0;
        acknowledgedMs = nowMs;
    }

    /** Notes that the owner has acknowledged the bill of a request. */
    public synchronized void acknowledgeBill(long tokens) {
        unbilled = Math.max(0, unbilled - tokens);
    }

    /**
     * Tells whether a reservation may be spent although the owner has not acknowledged it. The owner counts on no more
     * than the burst and the rate of the last request that it answered.
     */
    public synchronized boolean trySpendUnacknowledged(long tokens, long nowMs) {
        if (acknowledgedMs == Long.MIN_VALUE) {
            return false;
        }
        long silentMs = Math.max(0, nowMs - acknowledgedMs - SpendBounds.UNACKNOWLEDGED_DELAY_MS);
        if (spentUnacknowledged + tokens > burst + unacknowledgedRate * silentMs) {
            return false;
        }
        spentUnacknowledged += tokens;
        deferredTokens = Math.max(0, deferredTokens - tokens);
        return true;
    }

    /**
     * Returns after how many milliseconds a request that may not be spent now can come back, if the owner stays silent.
     * Each request that is told a time counts before the next one, so that their returns are spread.
     */
    public synchronized OptionalLong retryAfterMs(long tokens, long nowMs) {
        if (acknowledgedMs == Long.MIN_VALUE || unacknowledgedRate <= 0) {
            return OptionalLong.empty();
        }
        deferredTokens += tokens;
        double earnedMs = Math.max(0, spentUnacknowledged + deferredTokens - burst) / unacknowledgedRate;
        long at = acknowledgedMs + SpendBounds.UNACKNOWLEDGED_DELAY_MS + (long) Math.ceil(earnedMs);
        return OptionalLong.of(Math.max(0, at - nowMs));
    }

    /** Returns the tokens that the pool should hold: those of its demand over a span, and one request's. */
    private long target(long nowMs) {
        if (!settings.isPartitionTolerant()) {
            return demand.sum(nowMs) / DEMAND_SPANS + (long) meanReservation;
        }
        long spanMs = settings.demandMs() * DEMAND_SPANS;
        long seenMs = Math.max(settings.demandMs(), Math.min(spanMs, nowMs - firstSpendMs));
        return (long) (demand.sum(nowMs) * ((double) settings.holdMs() / seenMs)) + (long) meanReservation;
    }

    private RequestGrant createRequest(long minimum, long nowMs) {
        long target = target(nowMs);
        boolean outlasting = settings.isPartitionTolerant();
        RequestGrant ask = RequestGrant.newBuilder()
                .setBudget(budget)
                .setIncarnation(incarnation)
                .setGrantId(GrantIds.of(incarnation, ids.getAsLong()))
                .setMinimum(minimum)
                .setWanted(Math.max(minimum, outlasting ? target - free(nowMs) : target))
                .setTarget(outlasting ? Math.max(1, target) : 0)
                .setTargetMs(outlasting ? (int) (settings.holdMs() / UNACKNOWLEDGED_RATE_FACTOR) : 0)
                .setBurst(outlasting ? target * BURST_MS / settings.holdMs() : 0)
                .build();
        pending = ask;
        // The owner may count on the new rate from now on, although its answer is not here yet.
        unacknowledgedRate = Math.min(unacknowledgedRate, rate(ask));
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
    public synchronized List<GrantTotal> applyGrantResult(RequestGrant ask, GrantResult result, long nowMs) {
        RequestGrant awaited = pending;
        if (awaited == null || !awaited.getGrantId().equals(ask.getGrantId())) {
            return List.of();
        }
        pending = null;
        unacknowledgedRate = rate(ask);
        if (acknowledgedMs == Long.MIN_VALUE) {
            acknowledgedMs = nowMs;
        }
        burst = Math.max(burst, ask.getBurst());
        boolean less = result.getAmount() < ask.getWanted() && !settings.isPartitionTolerant();
        if (result.getOutcome() != GrantResult.Outcome.GRANTED || less) {
            scarceUntilMs = nowMs + settings.scarcityMs();
        } else {
            scarceUntilMs = Long.MIN_VALUE;
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
        if (!settings.isPartitionTolerant()) {
            demand.add(spent, nowMs);
        } else {
            unbilled += spent;
        }
        grant.settle(open.tokens(), spent);
        removeFinished();
    }

    /** Returns all that is free, because the owner needs it. */
    public synchronized List<GrantTotal> recall(long nowMs) {
        scarceUntilMs = nowMs + settings.scarcityMs();
        if (settings.isPartitionTolerant() && free(nowMs) > 2 * meanReservation) {
            return returnHalf();
        }
        return returnFree(g -> true);
    }

    /** Returns about half of what is free, so that a recall does not leave this router without for the next cut. */
    private List<GrantTotal> returnHalf() {
        return grants.values().stream()
                .filter(g -> g.returnTokens(g.free() / 2))
                .map(this::grantTotal)
                .toList();
    }

    /**
     * Returns what is due: all that is free if the budget is idle, what is free in old grants, and while the budget is
     * tight what requests have left over. A new grant waits for the request that asked for it.
     */
    public synchronized List<GrantTotal> returnsDue(long nowMs) {
        boolean idle = nowMs - lastSpendMs >= settings.idleMs();
        boolean tight = isScarce(nowMs);
        return returnFree(g -> idle || tight && g.wasReserved() || !isFresh(g, nowMs));
    }

    /** Returns the totals whose receipt the owner has not confirmed. */
    public synchronized List<GrantTotal> unacknowledged() {
        return grants.values().stream()
                .filter(PooledGrant::isReturnUnacknowledged)
                .map(this::grantTotal)
                .toList();
    }

    public synchronized void acknowledge(GrantTotal total) {
        PooledGrant grant = grants.get(total.getGrantId());
        if (grant != null) {
            grant.acknowledge(total.getReturnedTotal());
            removeFinished();
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

    private boolean isScarce(long nowMs) {
        return nowMs < scarceUntilMs;
    }

    private boolean isFresh(PooledGrant g, long nowMs) {
        return nowMs - g.issuedMs() < settings.maxGrantAgeMs();
    }

    private Optional<ReduceGrants> returnAllFree() {
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
                .map(this::grantTotal)
                .toList();
    }

    private GrantTotal grantTotal(PooledGrant g) {
        return GrantTotal.newBuilder()
                .setBudget(budget)
                .setGrantId(g.id())
                .setReturnedTotal(g.returned())
                .build();
    }

    private void removeFinished() {
        grants.values().removeIf(PooledGrant::isFinished);
    }
}
