package org.ragwortrun.ledger.internal;

import java.io.IOException;
import java.util.Collection;
import java.util.Collections;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;
import org.ragwortrun.ledger.GrantPolicy;
import org.ragwortrun.proto.BudgetRef;
import org.ragwortrun.proto.GrantResult;
import org.ragwortrun.proto.GrantTotal;
import org.ragwortrun.proto.RequestGrant;
import org.ragwortrun.proto.SpendMark;
import org.ragwortrun.proto.Usage;
import org.ragwortrun.proto.WrittenOff;

/**
 * Budget of a client account for one service. The sum of settled and outstanding tokens never exceeds the prepaid tokens.
 */
public final class BudgetAccount {
    private static final long NO_CONFIGURED_TOTAL = -1;
    // A router with no grant request for longer than a network partition lasts has no significant demand.
    private static final long TARGET_TTL_MS = 30_000;

    private final BudgetRef ref;
    private final SortedMap<String, Long> topUps = new TreeMap<>();
    private final SortedMap<String, Grant> grants = new TreeMap<>();
    private final SortedMap<String, LastGrantRequest> lastRequests = new TreeMap<>();
    private long prepaid;
    // Total set by a configuration. It may be below the settled and outstanding tokens after it has been lowered.
    private long configuredTotal = NO_CONFIGURED_TOTAL;
    private long configuredTotalNumber;
    private long settled;
    private long outstanding;
    private long bills;

    public BudgetAccount(BudgetRef ref) {
        this.ref = ref;
    }

    public BudgetRef ref() {
        return ref;
    }

    public long prepaid() {
        return prepaid;
    }

    public long settled() {
        return settled;
    }

    /** Returns the tokens that open grants may still spend. */
    public long outstanding() {
        return outstanding;
    }

    public long available() {
        return prepaid - settled - outstanding;
    }

    public long bills() {
        return bills;
    }

    public int grantCount() {
        return grants.size();
    }

    /** Returns whether a top-up with this id has been added. */
    public boolean hasTopUp(String id) {
        return topUps.containsKey(id);
    }

    /** Adds a top-up once by its id and returns whether it was new. The caller must check the sum for overflow. */
    public boolean topUp(String id, long tokens) {
        if (topUps.containsKey(id)) {
            return false;
        }
        prepaid = Math.addExact(prepaid, tokens);
        topUps.put(id, tokens);
        return true;
    }

    /**
     * Sets the total prepaid amount as of a configuration number and returns whether it changed. Settled and outstanding
     * tokens above a lowered total cannot be revoked; no tokens are granted until enough of them have been returned.
     */
    public boolean setTotal(long tokens, long number) {
        if (number <= configuredTotalNumber) {
            return false;
        }
        configuredTotalNumber = number;
        boolean changed = tokens != configuredTotal;
        configuredTotal = tokens;
        applyConfiguredTotal();
        return changed;
    }

    private void applyConfiguredTotal() {
        if (configuredTotal != NO_CONFIGURED_TOTAL) {
            prepaid = Math.max(configuredTotal, settled + outstanding);
        }
    }

    /** Records the declaration of the reserved tokens of a direct incarnation. */
    public void recordMark(String incarnation, SpendMark mark, long nowMs) {
        lastRequests.computeIfPresent(
                incarnation, (i, a) -> a.withBounds(a.bounds().withMark(mark, nowMs)));
    }

    /**
     * Closes the grants of an incarnation that ended at the given time without reporting its usage. The maximum that it
     * can have spent is settled, the rest becomes available. Returns both the held and the lost tokens.
     */
    public WrittenOff writeOff(String incarnation, long endMs) {
        long held = grants.values().stream()
                .filter(g -> g.incarnation().equals(incarnation))
                .mapToLong(Grant::outstanding)
                .sum();
        LastGrantRequest last = lastRequests.get(incarnation);
        long lost = last == null ? held : Math.min(held, last.bounds().maxUnsettled(endMs));
        grants.values().removeIf(g -> g.incarnation().equals(incarnation));
        lastRequests.remove(incarnation);
        outstanding -= held;
        settled = Math.addExact(settled, lost);
        applyConfiguredTotal();
        return WrittenOff.newBuilder()
                .setBudget(ref)
                .setHeld(held)
                .setLost(lost)
                .setDeclared(last == null ? 0 : last.bounds().reserved())
                .setSilentMs(
                        last == null ? 0 : Math.max(0, endMs - last.bounds().acknowledgedMs()))
                .build();
    }

    /**
     * Decides on a grant request.
     *
     * <p>A duplicate of a request gets the original result. It gets amount 0 if its grant has been used up, or if it was
     * refused and its router has sent a newer request since.
     *
     * @param counter counter in the grant id, which increases with each new request of an incarnation
     */
    public GrantResult requestGrant(RequestGrant request, long counter, GrantPolicy policy, long nowMs) {
        Grant open = grants.get(request.getGrantId());
        if (open != null) {
            return granted(open.amount());
        }
        LastGrantRequest last = lastRequests.get(request.getIncarnation());
        if (last != null && counter <= last.counter()) {
            boolean refused = counter == last.counter() && last.answer().getOutcome() != GrantResult.Outcome.GRANTED;
            return refused ? last.answer() : granted(0);
        }
        long netGranted = last == null ? 0 : last.netGranted();
        SpendBounds bounds = last == null ? SpendBounds.NONE : last.bounds();
        GrantResult answer = decideGrant(request, policy, netGranted, nowMs);
        if (answer.getAmount() > 0) {
            long held = Math.addExact(outstanding, answer.getAmount());
            BudgetInvariant.check(prepaid, settled, held);
            outstanding = held;
            grants.put(
                    request.getGrantId(),
                    new Grant(request.getGrantId(), request.getIncarnation(), answer.getAmount(), 0, 0, nowMs));
        }
        GrantResult complete = answer.toBuilder().setAvailable(available()).build();
        lastRequests.put(
                request.getIncarnation(),
                new LastGrantRequest(
                        counter, complete, netGranted + answer.getAmount(), bounds.withRequest(request, nowMs), nowMs));
        return complete;
    }

    private GrantResult decideGrant(RequestGrant request, GrantPolicy policy, long netGranted, long nowMs) {
        SortedMap<String, Long> holdings = holdings();
        int holders = holdings.size() + (holdings.containsKey(request.getIncarnation()) ? 0 : 1);
        GrantPolicy.Request context = new GrantPolicy.Request(
                prepaid,
                settled,
                available(),
                netGranted,
                holders,
                request.getMinimum(),
                request.getWanted(),
                Math.max(0, request.getTarget()),
                otherTargets(request.getIncarnation(), nowMs));
        long size = request.getMinimum() > available() ? -1 : Math.min(policy.size(context), available());
        if (size >= request.getMinimum()) {
            return granted(size);
        }
        // Outstanding tokens may be returned. A request that exceeds the available and outstanding tokens cannot
        // succeed.
        boolean mayFit = outstanding > 0 && request.getMinimum() <= available() + outstanding;
        GrantResult.Outcome outcome = mayFit ? GrantResult.Outcome.HELD : GrantResult.Outcome.SPENT;
        GrantResult.Builder refused = GrantResult.newBuilder().setOutcome(outcome);
        holdings.keySet().stream()
                .filter(h -> !h.equals(request.getIncarnation()))
                .forEach(refused::addHolders);
        return refused.build();
    }

    private long otherTargets(String incarnation, long nowMs) {
        return lastRequests.entrySet().stream()
                .filter(e ->
                        !e.getKey().equals(incarnation) && nowMs - e.getValue().atMs() < TARGET_TTL_MS)
                .mapToLong(e -> Math.min(e.getValue().bounds().target(), Long.MAX_VALUE / 1_000_000))
                .sum();
    }

    private GrantResult granted(long amount) {
        return GrantResult.newBuilder()
                .setOutcome(GrantResult.Outcome.GRANTED)
                .setAmount(amount)
                .setAvailable(available())
                .build();
    }

    /** Returns whether a return total is valid. A grant cannot return tokens that it has settled. */
    public boolean canReduce(String incarnation, GrantTotal total) {
        Grant grant = grants.get(total.getGrantId());
        return grant == null
                || grant.incarnation().equals(incarnation)
                        && total.getReturnedTotal() >= 0
                        && total.getReturnedTotal() <= grant.amount() - grant.settled();
    }

    /** Applies a return total to a grant and returns the tokens that became available. A lower total has no effect. */
    public long reduce(GrantTotal total) {
        Grant grant = grants.get(total.getGrantId());
        if (grant == null || total.getReturnedTotal() <= grant.returned()) {
            return 0;
        }
        long more = total.getReturnedTotal() - grant.returned();
        BudgetInvariant.check(prepaid, settled, outstanding - more);
        outstanding -= more;
        store(grant.withReturned(total.getReturnedTotal()));
        lastRequests.computeIfPresent(grant.incarnation(), (i, a) -> a.withReturned(more));
        applyConfiguredTotal();
        return more;
    }

    /** Bills a usage whose request has not been billed yet, or returns the reason why it cannot be billed. */
    public Optional<String> settle(Usage usage, long acceptFromMs) {
        Grant grant = grants.get(usage.getGrantId());
        Optional<String> rejected = SettleRule.reject(usage, grant, acceptFromMs);
        if (rejected.isPresent() || grant == null) {
            return rejected;
        }
        long total = Math.addExact(settled, usage.getTokens());
        long deducted = usage.getTokens() + usage.getReturned();
        BudgetInvariant.check(prepaid, total, outstanding - deducted);
        settled = total;
        outstanding -= deducted;
        bills++;
        store(grant.withSettled(deducted));
        return Optional.empty();
    }

    /**
     * Refunds the tokens of a second run of a billed request. Its router counts them as spent, but the request is billed
     * only once. Returns false if the grant is closed or has too few outstanding tokens.
     */
    public boolean refundSecondRun(Usage usage) {
        Grant grant = grants.get(usage.getGrantId());
        if (grant == null || !grant.incarnation().equals(usage.getIncarnation()) || !SettleRule.fits(usage, grant)) {
            return false;
        }
        long deducted = usage.getTokens() + usage.getReturned();
        BudgetInvariant.check(prepaid, settled, outstanding - deducted);
        outstanding -= deducted;
        store(grant.withSettled(deducted));
        return true;
    }

    /** Closes all grants of an incarnation and returns the tokens that became available. */
    public long release(String incarnation) {
        long released = grants.values().stream()
                .filter(g -> g.incarnation().equals(incarnation))
                .mapToLong(Grant::outstanding)
                .sum();
        BudgetInvariant.check(prepaid, settled, outstanding - released);
        grants.values().removeIf(g -> g.incarnation().equals(incarnation));
        lastRequests.remove(incarnation);
        outstanding -= released;
        applyConfiguredTotal();
        return released;
    }

    private void store(Grant grant) {
        if (grant.outstanding() == 0) {
            grants.remove(grant.id());
        } else {
            grants.put(grant.id(), grant);
        }
    }

    /** Returns the outstanding tokens of each incarnation that holds a grant. */
    public SortedMap<String, Long> holdings() {
        SortedMap<String, Long> held = new TreeMap<>();
        grants.values().forEach(g -> held.merge(g.incarnation(), g.outstanding(), Long::sum));
        return Collections.unmodifiableSortedMap(held);
    }

    /** Returns the issue time of the oldest open grant, or {@link Long#MAX_VALUE} if there is none. */
    public long oldestGrantMs() {
        return grants.values().stream().mapToLong(Grant::issuedMs).min().orElse(Long.MAX_VALUE);
    }

    /** Evicts the last grant requests before the given time of incarnations that hold no grants. */
    public void evictLastRequests(long beforeMs) {
        Collection<String> holders = holdings().keySet();
        lastRequests.entrySet().removeIf(e -> e.getValue().atMs() < beforeMs && !holders.contains(e.getKey()));
    }

    public void write(SnapshotWriter out) throws IOException {
        out.message(ref);
        out.number(prepaid);
        out.number(settled);
        out.number(bills);
        out.number(configuredTotal + 1);
        out.number(configuredTotalNumber);
        out.all(topUps.entrySet(), e -> {
            out.text(e.getKey());
            out.number(e.getValue());
        });
        out.all(grants.values(), g -> g.write(out));
        out.all(lastRequests.entrySet(), e -> {
            out.text(e.getKey());
            e.getValue().write(out);
        });
    }

    /** Reads a budget from a snapshot and checks its invariant. */
    public static BudgetAccount read(SnapshotReader in) throws IOException {
        BudgetAccount b = new BudgetAccount(in.message(BudgetRef.parser()));
        b.prepaid = in.number();
        b.settled = in.number();
        b.bills = in.number();
        b.configuredTotal = in.number() - 1;
        b.configuredTotalNumber = in.number();
        in.all(() -> b.topUps.put(in.text(), in.number()));
        in.all(() -> b.restoreGrant(Grant.read(in)));
        in.all(() -> b.lastRequests.put(in.text(), LastGrantRequest.read(in)));
        BudgetInvariant.check(b.prepaid, b.settled, b.outstanding);
        return b;
    }

    private void restoreGrant(@Nullable Grant grant) {
        if (grant != null) {
            grants.put(grant.id(), grant);
            outstanding = Math.addExact(outstanding, grant.outstanding());
        }
    }
}
