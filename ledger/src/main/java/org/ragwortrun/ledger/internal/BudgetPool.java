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
 * The grants of one budget that one router incarnation holds. Each method locks only this budget.
 *
 * <p>In the default mode, demand is the number of tokens that requests use, not the number that they reserve, because the
 * unused part of a reservation becomes free again. It is averaged over five demand periods, because the use in one period
 * varies too much for accounts with few requests. The target adds the mean reservation, so that there is room for a
 * single request.
 */
public final class BudgetPool {
    private static final int DEMAND_SPANS = 5;
    private static final int MAX_MEAN_SAMPLES = 16;

    // With this divisor, a pool holds 0.5 to 1.5 grants. With 1 to 2 grants, a partitioned router withheld 20 % more
    // tokens from the other routers and refused hardly fewer requests during its last lease.
    private static final int REFILL_DIVISOR = 2;

    // A partition-tolerant pool is refilled early because a partition may start at any time.
    private static final double EARLY_REFILL_FRACTION = 0.85;

    // Period of demand that may be spent immediately without an acknowledgement. These tokens are written off with each
    // lost router. If that leaves a client account 3 % short at the end of the day, callers are refused needlessly.
    private static final long BURST_MS = 1_000;

    // Allows for bursts in the demand of a single router. A higher factor loses more tokens when a router fails.
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
    // Bounds of unacknowledged spending that the owner knows: tokens per millisecond, and an immediate burst.
    private double unacknowledgedRate;
    private long burst;
    private long spentUnacknowledged;
    // Tokens of requests that were given a retry delay.
    private long deferredTokens;
    private long acknowledgedMs = Long.MIN_VALUE;

    public BudgetPool(BudgetRef budget, String incarnation, PoolSettings settings, LongSupplier ids) {
        this.budget = budget;
        this.incarnation = incarnation;
        this.settings = settings;
        this.ids = ids;
        this.demand = new DemandMeter(settings.demandMs() * DEMAND_SPANS);
    }

    /** Reserves from the oldest grant with enough free tokens, or returns the messages for the owner. */
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
            return new ReserveResult.GrantNeeded(Optional.empty(), Optional.empty());
        }
        Optional<ReduceGrants> returns = isScarce(nowMs) ? returnAllFree() : Optional.empty();
        return new ReserveResult.GrantNeeded(returns, Optional.of(createRequest(tokens, nowMs)));
    }

    /** Returns a grant request that refills the pool before its tokens run out, if a refill is due. */
    public synchronized Optional<RequestGrant> refill(long nowMs) {
        long target = target(nowMs);
        double threshold = settings.isPartitionTolerant() ? EARLY_REFILL_FRACTION : 1.0 / REFILL_DIVISOR;
        boolean due = pending == null && !isScarce(nowMs) && target > 0 && free(nowMs) < target * threshold;
        return due ? Optional.of(createRequest(0, nowMs)) : Optional.empty();
    }

    /** Returns the declaration of the reserved tokens. The owner must receive it before requests are sent. */
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

    /** Records that the owner has acknowledged a declaration, and so knows all earlier reservations. */
    public synchronized void acknowledgeMark(long nowMs) {
        spentUnacknowledged = 0;
        deferredTokens = 0;
        acknowledgedMs = nowMs;
    }

    /** Records that the owner has acknowledged the bill of a request. */
    public synchronized void acknowledgeBill(long tokens) {
        unbilled = Math.max(0, unbilled - tokens);
    }

    /**
     * Counts a reservation as spent without the owner's acknowledgement, and returns whether this was allowed. The owner
     * assumes spending up to the burst and the rate of the last grant request that it answered.
     */
    public synchronized boolean trySpendUnacknowledged(long tokens, long nowMs) {
        if (acknowledgedMs == Long.MIN_VALUE) {
            return false;
        }
        long unacknowledgedMs = Math.max(0, nowMs - acknowledgedMs - SpendBounds.UNACKNOWLEDGED_DELAY_MS);
        if (spentUnacknowledged + tokens > burst + unacknowledgedRate * unacknowledgedMs) {
            return false;
        }
        spentUnacknowledged += tokens;
        deferredTokens = Math.max(0, deferredTokens - tokens);
        return true;
    }

    /**
     * Returns the retry delay in milliseconds for a request whose reservation may not be spent now, in case the owner
     * remains unreachable. Each call counts the tokens of the earlier ones, so that retries are spread over time.
     */
    public synchronized OptionalLong retryAfterMs(long tokens, long nowMs) {
        if (acknowledgedMs == Long.MIN_VALUE || unacknowledgedRate <= 0) {
            return OptionalLong.empty();
        }
        deferredTokens += tokens;
        double rateMs = Math.max(0, spentUnacknowledged + deferredTokens - burst) / unacknowledgedRate;
        long at = acknowledgedMs + SpendBounds.UNACKNOWLEDGED_DELAY_MS + (long) Math.ceil(rateMs);
        return OptionalLong.of(Math.max(0, at - nowMs));
    }

    /** Returns the tokens that the pool should hold: the demand over a period plus the mean reservation. */
    private long target(long nowMs) {
        if (!settings.isPartitionTolerant()) {
            return demand.sum(nowMs) / DEMAND_SPANS + (long) meanReservation;
        }
        long spanMs = settings.demandMs() * DEMAND_SPANS;
        long measuredMs = Math.max(settings.demandMs(), Math.min(spanMs, nowMs - firstSpendMs));
        return (long) (demand.sum(nowMs) * ((double) settings.holdMs() / measuredMs)) + (long) meanReservation;
    }

    private RequestGrant createRequest(long minimum, long nowMs) {
        long target = target(nowMs);
        boolean tolerant = settings.isPartitionTolerant();
        RequestGrant request = RequestGrant.newBuilder()
                .setBudget(budget)
                .setIncarnation(incarnation)
                .setGrantId(GrantIds.of(incarnation, ids.getAsLong()))
                .setMinimum(minimum)
                .setWanted(Math.max(minimum, tolerant ? target - free(nowMs) : target))
                .setTarget(tolerant ? Math.max(1, target) : 0)
                .setTargetMs(tolerant ? (int) (settings.holdMs() / UNACKNOWLEDGED_RATE_FACTOR) : 0)
                .setBurst(tolerant ? target * BURST_MS / settings.holdMs() : 0)
                .build();
        pending = request;
        // The owner may assume the new rate from now on, before its result arrives.
        unacknowledgedRate = Math.min(unacknowledgedRate, rate(request));
        return request;
    }

    private static double rate(RequestGrant request) {
        return request.getTargetMs() == 0 ? 0 : (double) request.getTarget() / request.getTargetMs();
    }

    /**
     * Applies a grant result and returns the free remainders of older grants that were too small for the request, because
     * such fragments would add up to more than the demand. They are kept until the result arrives, because a partitioned
     * router still serves smaller requests from them. A result for a request that is not pending has no effect.
     */
    public synchronized List<GrantTotal> applyGrantResult(RequestGrant request, GrantResult result, long nowMs) {
        RequestGrant awaited = pending;
        if (awaited == null || !awaited.getGrantId().equals(request.getGrantId())) {
            return List.of();
        }
        pending = null;
        unacknowledgedRate = rate(request);
        if (acknowledgedMs == Long.MIN_VALUE) {
            acknowledgedMs = nowMs;
        }
        burst = Math.max(burst, request.getBurst());
        boolean insufficient = result.getAmount() < request.getWanted() && !settings.isPartitionTolerant();
        if (result.getOutcome() != GrantResult.Outcome.GRANTED || insufficient) {
            scarceUntilMs = nowMs + settings.scarcityMs();
        } else {
            scarceUntilMs = Long.MIN_VALUE;
        }
        List<GrantTotal> fragments =
                result.getAmount() > 0 ? returnFree(g -> g.free() < request.getMinimum()) : List.of();
        if (result.getOutcome() == GrantResult.Outcome.GRANTED && result.getAmount() > 0) {
            grants.put(request.getGrantId(), new PooledGrant(request.getGrantId(), result.getAmount(), nowMs));
        }
        return fragments;
    }

    /** Ends a reservation and frees its unused tokens. A repeated call has no effect. */
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

    /** Returns free tokens after a recall by the owner: all of them, or half if the pool is partition-tolerant. */
    public synchronized List<GrantTotal> recall(long nowMs) {
        scarceUntilMs = nowMs + settings.scarcityMs();
        if (settings.isPartitionTolerant() && free(nowMs) > 2 * meanReservation) {
            return returnHalf();
        }
        return returnFree(g -> true);
    }

    /** Returns about half of the free tokens, so that the router keeps some for a network partition. */
    private List<GrantTotal> returnHalf() {
        return grants.values().stream()
                .filter(g -> g.returnTokens(g.free() / 2))
                .map(this::grantTotal)
                .toList();
    }

    /**
     * Returns the free tokens that must go back: all of them if the budget is idle, those of expired grants, and while the
     * budget is scarce those of grants with earlier reservations. An unused grant is kept for the request that needs it.
     */
    public synchronized List<GrantTotal> returnsDue(long nowMs) {
        boolean idle = nowMs - lastSpendMs >= settings.idleMs();
        boolean scarce = isScarce(nowMs);
        return returnFree(g -> idle || scarce && g.wasReserved() || !isFresh(g, nowMs));
    }

    /** Returns the return totals that the owner has not acknowledged. */
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

    /** Returns the grant request that the owner has not answered. It is safe to resend. */
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

    /** Returns whether this pool can be removed: it is idle, has no grants and no pending request. */
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
