package org.ragwortrun.ledger.internal;

import java.io.IOException;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.ragwortrun.proto.BudgetRef;
import org.ragwortrun.proto.TopUp;
import org.ragwortrun.proto.WrittenOff;

/** All budgets of a shard, by client account and service. */
public final class Budgets {
    private final SortedMap<String, SortedMap<String, BudgetAccount>> accounts = new TreeMap<>();

    public Optional<BudgetAccount> find(BudgetRef ref) {
        return Optional.ofNullable(accounts.getOrDefault(ref.getAccount(), Collections.emptySortedMap())
                .get(ref.getService()));
    }

    public Collection<BudgetAccount> ofAccount(String account) {
        return accounts.getOrDefault(account, Collections.emptySortedMap()).values();
    }

    public Stream<BudgetAccount> all() {
        return accounts.values().stream().flatMap(services -> services.values().stream());
    }

    /** Returns whether the new top-ups can be added without an overflow of any budget. */
    public boolean canApplyTopUps(List<TopUp> topUps) {
        SortedMap<String, Long> sums = new TreeMap<>();
        SortedMap<String, Long> counted = new TreeMap<>();
        try {
            for (TopUp t : topUps) {
                String key = t.getBudget().getAccount() + '\n' + t.getBudget().getService();
                boolean known =
                        find(t.getBudget()).map(b -> b.hasTopUp(t.getId())).orElse(false);
                if (!t.getTotal() && !known && counted.put(key + '\n' + t.getId(), t.getTokens()) == null) {
                    long before = sums.containsKey(key)
                            ? sums.getOrDefault(key, 0L)
                            : find(t.getBudget()).map(BudgetAccount::prepaid).orElse(0L);
                    sums.put(key, Math.addExact(before, t.getTokens()));
                }
            }
            return true;
        } catch (ArithmeticException e) {
            return false;
        }
    }

    /** Adds a top-up once, or sets a total as of a configuration number, and returns whether it had an effect. */
    public boolean topUp(TopUp topUp, long number) {
        BudgetAccount budget = accounts.computeIfAbsent(topUp.getBudget().getAccount(), a -> new TreeMap<>())
                .computeIfAbsent(topUp.getBudget().getService(), s -> new BudgetAccount(topUp.getBudget()));
        return topUp.getTotal()
                ? budget.setTotal(topUp.getTokens(), number)
                : budget.topUp(topUp.getId(), topUp.getTokens());
    }

    /** Closes the grants of an incarnation that ended at the given time, and returns the write-off of each budget. */
    public List<WrittenOff> writeOff(String incarnation, long endMs) {
        return all().map(b -> b.writeOff(incarnation, endMs))
                .filter(w -> w.getHeld() > 0)
                .toList();
    }

    /** Closes all grants of an incarnation and returns the tokens that became available. */
    public long release(String incarnation) {
        return all().mapToLong(b -> b.release(incarnation)).sum();
    }

    /** Returns the issue time of the oldest open grant, or {@link Long#MAX_VALUE} if there is none. */
    public long oldestGrantMs() {
        return all().mapToLong(BudgetAccount::oldestGrantMs).min().orElse(Long.MAX_VALUE);
    }

    public void write(SnapshotWriter out) throws IOException {
        out.all(all().toList(), b -> b.write(out));
    }

    public static Budgets read(SnapshotReader in) throws IOException {
        Budgets all = new Budgets();
        in.all(() -> {
            BudgetAccount b = BudgetAccount.read(in);
            all.accounts
                    .computeIfAbsent(b.ref().getAccount(), a -> new TreeMap<>())
                    .put(b.ref().getService(), b);
        });
        return all;
    }
}
