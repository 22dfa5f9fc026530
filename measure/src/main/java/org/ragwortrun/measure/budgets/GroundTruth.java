package org.ragwortrun.measure.budgets;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.ragwortrun.ledger.ShardState;
import org.ragwortrun.proto.BudgetRef;
import org.ragwortrun.proto.BudgetStatement;
import org.ragwortrun.proto.ExplainQuery;
import org.ragwortrun.proto.Explanation;
import org.ragwortrun.proto.StatementQuery;

/** Records what actually happened in a run, independently of what each simulated process knows. */
final class GroundTruth {
    private final Map<BudgetRef, Long> prepaid = new HashMap<>();
    private final Map<BudgetRef, Long> spent = new HashMap<>();
    private final Map<String, BudgetRef> budgetsByRequest = new HashMap<>();
    private final Map<String, Integer> runCounts = new HashMap<>();
    private final Map<String, Reserved> reserved = new HashMap<>();
    private final Map<BudgetRef, Long> reservedByBudget = new HashMap<>();
    private final Map<BudgetRef, Long> falselyRefusedTokens = new HashMap<>();
    private final Set<String> admissible = new HashSet<>();
    private final Set<String> refused = new HashSet<>();
    private final Map<String, Integer> refusals = new TreeMap<>();
    private final Map<String, Integer> falseRefusals = new TreeMap<>();
    private final EventQueue queue;
    private long overspend;
    private int ordersRunTwice;
    private int duplicateRuns;

    GroundTruth(EventQueue queue) {
        this.queue = queue;
    }

    void recordTopUp(BudgetRef budget, long tokens) {
        prepaid.merge(budget, tokens, Long::sum);
    }

    /** Records tokens that are reserved for a run, whichever process knows of them. */
    void reserve(String run, BudgetRef budget, long tokens) {
        if (reserved.putIfAbsent(run, new Reserved(budget, tokens)) == null) {
            reservedByBudget.merge(budget, tokens, Long::sum);
        }
    }

    void release(String run) {
        Reserved r = reserved.remove(run);
        if (r != null) {
            reservedByBudget.merge(r.budget, -r.tokens, Long::sum);
        }
    }

    /** Releases the reservations of all runs of a call. */
    void releaseAll(Call call) {
        List.copyOf(reserved.keySet()).stream()
                .filter(run -> run.startsWith(call.id() + '#'))
                .forEach(this::release);
    }

    /**
     * Records whether a perfect ledger, which knows everything without delay, would admit a call that arrives now.
     *
     * <p>The perfect ledger is assumed to have admitted every call that was admitted here, and every call that was
     * falsely refused here. Unreachable tokens therefore count for as many false refusals as calls that they could have
     * paid for, and not for each call that is refused while the tokens are unreachable.
     */
    void recordArrival(Call call) {
        long left = prepaid.getOrDefault(call.budget(), 0L)
                - spent.getOrDefault(call.budget(), 0L)
                - reservedByBudget.getOrDefault(call.budget(), 0L)
                - falselyRefusedTokens.getOrDefault(call.budget(), 0L);
        if (left >= call.maxTokens()) {
            admissible.add(call.id());
        }
    }

    /** Returns the calls that the perfect ledger would admit. */
    Set<String> admissible() {
        return admissible;
    }

    /** Records that an endpoint finished a run. A second run of the same id is not charged to the account. */
    void recordRun(Call call, long tokens) {
        int count = runCounts.merge(call.id(), 1, Integer::sum);
        if (count > 1) {
            duplicateRuns++;
            ordersRunTwice += call.order() ? 1 : 0;
            return;
        }
        budgetsByRequest.put(call.id(), call.budget());
        long sum = spent.merge(call.budget(), tokens, Long::sum);
        overspend = Math.max(overspend, sum - prepaid.getOrDefault(call.budget(), 0L));
    }

    void recordRefusal(Call call, String reason) {
        if (refused.add(call.id())) {
            refusals.merge(reason, 1, Integer::sum);
            if (admissible.contains(call.id())) {
                falseRefusals.merge(reason, 1, Integer::sum);
                falselyRefusedTokens.merge(call.budget(), call.maxTokens(), Long::sum);
                queue.after(
                        call.durationMicros(),
                        () -> falselyRefusedTokens.merge(
                                call.budget(), call.usedTokens() - call.maxTokens(), Long::sum));
            }
        }
    }

    boolean wasRefused(Call call) {
        return refused.contains(call.id());
    }

    /** Checks the statement of the owner: settled and held tokens must not exceed the prepaid tokens. */
    void checkStatement(ShardState shard) {
        prepaid.forEach((budget, paid) ->
                shard
                        .statement(StatementQuery.newBuilder()
                                .setAccount(budget.getAccount())
                                .build())
                        .getBudgetsList()
                        .stream()
                        .filter(b -> b.getBudget().equals(budget))
                        .forEach(b -> overspend = Math.max(overspend, b.getSettled() + b.getHeld() - paid)));
    }

    /** Returns the number of surplus bills, plus one for each budget that is billed more tokens than its runs used. */
    long doubleBills(ShardState shard) {
        long excess = 0;
        for (BudgetRef budget : prepaid.keySet()) {
            BudgetStatement b = statement(shard, budget);
            long distinct =
                    budgetsByRequest.values().stream().filter(budget::equals).count();
            excess += Math.max(0, b.getBills() - distinct);
            if (b.getSettled() > spent.getOrDefault(budget, 0L)) {
                excess++;
            }
        }
        return excess;
    }

    /** Returns the number of requests that ran but have no bill. */
    long lostBills(ShardState shard) {
        return budgetsByRequest.entrySet().stream()
                .map(e -> shard.explain(ExplainQuery.newBuilder()
                        .setAccount(e.getValue().getAccount())
                        .setRequestId(e.getKey())
                        .build()))
                .filter(x -> !x.getKnown() || x.getBilledMs() == 0 || x.equals(Explanation.getDefaultInstance()))
                .count();
    }

    /** Returns the tokens that the owner reports as held. */
    long held(ShardState shard) {
        return prepaid.keySet().stream()
                .mapToLong(b -> statement(shard, b).getHeld())
                .sum();
    }

    private static BudgetStatement statement(ShardState shard, BudgetRef budget) {
        return shard
                .statement(StatementQuery.newBuilder()
                        .setAccount(budget.getAccount())
                        .build())
                .getBudgetsList()
                .stream()
                .filter(b -> b.getBudget().equals(budget))
                .findFirst()
                .orElse(BudgetStatement.getDefaultInstance());
    }

    long overspend() {
        return overspend;
    }

    int ordersRunTwice() {
        return ordersRunTwice;
    }

    private record Reserved(BudgetRef budget, long tokens) {}

    int duplicateRuns() {
        return duplicateRuns;
    }

    int requestsRun() {
        return budgetsByRequest.size();
    }

    Map<String, Integer> falseRefusals() {
        return falseRefusals;
    }

    Map<String, Integer> refusals() {
        return refusals;
    }
}
