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

/** The budget of a client account for one service. Settled and outstanding tokens never exceed the prepaid tokens. */
public final class BudgetAccount {
    private static final long NO_CONFIGURED_TOTAL = -1;
    // A router that has not asked for longer than a cut lasts has no demand to speak of.
    private static final long TARGET_TTL_MS = 30_000;

    private final BudgetRef ref;
    private final SortedMap<String, Long> topUps = new TreeMap<>();
    private final SortedMap<String, Grant> grants = new TreeMap<>();
    private final SortedMap<String, LastGrantRequest> lastRequests = new TreeMap<>();
    private long prepaid;
    // Amount that a configuration set as the whole, below what is settled and outstanding if it was lowered late.
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

    /** Tells whether a top-up with this id has been counted. */
    public boolean hasTopUp(String id) {
        return topUps.containsKey(id);
    }

    /** Counts a top-up once by its id and tells whether it was new. The sum must have been checked for overflow. */
    public boolean topUp(String id, long tokens) {
        if (topUps.containsKey(id)) {
            return false;
        }
        prepaid = Math.addExact(prepaid, tokens);
        topUps.put(id, tokens);
        return true;
    }

    /**
     * Sets the whole prepaid amount as of a configuration number and tells whether it changed. Tokens that are settled
     * or outstanding beyond a lower amount cannot be taken back at once; nothing more is granted until they are.
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

    /** Notes what a direct incarnation has reserved. */
    public void recordMark(String incarnation, SpendMark mark, long nowMs) {
        lastRequests.computeIfPresent(incarnation, (i, a) -> a.withBounds(a.bounds().withMark(mark, nowMs)));
    }

    /**
     * Closes the grants of an incarnation that ended at a time without saying what it had spent. The most that it can
     * have spent counts as spent, the rest becomes available. Returns both.
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
                .setSilentMs(last == null ? 0 : Math.max(0, endMs - last.bounds().acknowledgedMs()))
                .build();
    }

    /**
     * Answers a request for tokens.
     *
     * <p>A copy of a request gets the first answer. A copy gets amount 0 if its grant has been used up, or if it was
     * refused and its router has made a newer request since.
     *
     * @param counter counter in the grant id; it rises with each new request of an incarnation
     */
    public GrantResult requestGrant(RequestGrant ask, long counter, GrantPolicy policy, long nowMs) {
        Grant open = grants.get(ask.getGrantId());
        if (open != null) {
            return granted(open.amount());
        }
        LastGrantRequest last = lastRequests.get(ask.getIncarnation());
        if (last != null && counter <= last.counter()) {
            boolean refused = counter == last.counter() && last.answer().getOutcome() != GrantResult.Outcome.GRANTED;
            return refused ? last.answer() : granted(0);
        }
        long taken = last == null ? 0 : last.netGranted();
        SpendBounds terms = last == null ? SpendBounds.NONE : last.bounds();
        GrantResult answer = decideGrant(ask, policy, taken, nowMs);
        if (answer.getAmount() > 0) {
            long held = Math.addExact(outstanding, answer.getAmount());
            BudgetInvariant.check(prepaid, settled, held);
            outstanding = held;
            grants.put(
                    ask.getGrantId(),
                    new Grant(ask.getGrantId(), ask.getIncarnation(), answer.getAmount(), 0, 0, nowMs));
        }
        GrantResult complete = answer.toBuilder().setAvailable(available()).build();
        lastRequests.put(
                ask.getIncarnation(),
                new LastGrantRequest(counter, complete, taken + answer.getAmount(), terms.withRequest(ask, nowMs), nowMs));
        return complete;
    }

    private GrantResult decideGrant(RequestGrant ask, GrantPolicy policy, long taken, long nowMs) {
        SortedMap<String, Long> holdings = holdings();
        int holders = holdings.size() + (holdings.containsKey(ask.getIncarnation()) ? 0 : 1);
        GrantPolicy.Request view = new GrantPolicy.Request(
                prepaid,
                settled,
                available(),
                taken,
                holders,
                ask.getMinimum(),
                ask.getWanted(),
                Math.max(0, ask.getTarget()),
                otherTargets(ask.getIncarnation(), nowMs));
        long size = ask.getMinimum() > available() ? -1 : Math.min(policy.size(view), available());
        if (size >= ask.getMinimum()) {
            return granted(size);
        }
        // What is out may come back. A request that is larger than all of it would wait in vain.
        boolean mayFit = outstanding > 0 && ask.getMinimum() <= available() + outstanding;
        GrantResult.Outcome outcome = mayFit ? GrantResult.Outcome.HELD : GrantResult.Outcome.SPENT;
        GrantResult.Builder refused = GrantResult.newBuilder().setOutcome(outcome);
        holdings.keySet().stream().filter(h -> !h.equals(ask.getIncarnation())).forEach(refused::addHolders);
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

    /** Tells whether a total can be applied: no grant returns tokens that it has settled. */
    public boolean canReduce(String incarnation, GrantTotal total) {
        Grant grant = grants.get(total.getGrantId());
        return grant == null
                || grant.incarnation().equals(incarnation)
                        && total.getReturnedTotal() >= 0
                        && total.getReturnedTotal() <= grant.amount() - grant.settled();
    }

    /** Takes back part of a grant and returns the tokens that became available. A lower total changes nothing. */
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

    /** Bills a usage that the register does not know, or returns the reason why it cannot be billed. */
    public Optional<String> settle(Usage usage, long acceptFromMs) {
        Grant grant = grants.get(usage.getGrantId());
        Optional<String> rejected = SettleRule.reject(usage, grant, acceptFromMs);
        if (rejected.isPresent() || grant == null) {
            return rejected;
        }
        long total = Math.addExact(settled, usage.getTokens());
        long taken = usage.getTokens() + usage.getReturned();
        BudgetInvariant.check(prepaid, total, outstanding - taken);
        settled = total;
        outstanding -= taken;
        bills++;
        store(grant.withSettled(taken));
        return Optional.empty();
    }

    /**
     * Takes back tokens that a second run of a billed request has used: its router counts them as spent, but they are
     * billed only once. Returns false if the grant cannot give them back.
     */
    public boolean refundSecondRun(Usage usage) {
        Grant grant = grants.get(usage.getGrantId());
        if (grant == null || !grant.incarnation().equals(usage.getIncarnation()) || !SettleRule.fits(usage, grant)) {
            return false;
        }
        long taken = usage.getTokens() + usage.getReturned();
        BudgetInvariant.check(prepaid, settled, outstanding - taken);
        outstanding -= taken;
        store(grant.withSettled(taken));
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

    /** Returns the issue time of the oldest open grant, or the largest number if there is none. */
    public long oldestGrantMs() {
        return grants.values().stream().mapToLong(Grant::issuedMs).min().orElse(Long.MAX_VALUE);
    }

    /** Forgets the last requests of incarnations that hold nothing and have not asked since a time. */
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

    /** Reads a budget and checks its invariant. */
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
