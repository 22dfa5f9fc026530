package org.ragwortrun.measure.budgets;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.ragwortrun.ledger.ShardState;
import org.ragwortrun.proto.BudgetRef;
import org.ragwortrun.proto.BudgetStatement;
import org.ragwortrun.proto.ExplainQuery;
import org.ragwortrun.proto.Explanation;
import org.ragwortrun.proto.StatementQuery;

/** What really happened, seen from outside all processes. */
final class Truth {
    private final Map<BudgetRef, Long> prepaid = new HashMap<>();
    private final Map<BudgetRef, Long> spent = new HashMap<>();
    private final Map<String, BudgetRef> ran = new HashMap<>();
    private final Map<String, Integer> runs = new HashMap<>();
    private final Set<String> refused = new HashSet<>();
    private final Map<String, Integer> refusals = new HashMap<>();
    private long overspend;
    private int ordersRunTwice;
    private int secondRuns;

    void paid(BudgetRef budget, long tokens) {
        prepaid.merge(budget, tokens, Long::sum);
    }

    /** Notes that an endpoint finished a run. A second run of an id is work of ours and costs the account nothing. */
    void finished(Call call, long tokens) {
        int count = runs.merge(call.id(), 1, Integer::sum);
        if (count > 1) {
            secondRuns++;
            ordersRunTwice += call.order() ? 1 : 0;
            return;
        }
        ran.put(call.id(), call.budget());
        long sum = spent.merge(call.budget(), tokens, Long::sum);
        overspend = Math.max(overspend, sum - prepaid.getOrDefault(call.budget(), 0L));
    }

    void refused(Call call, String reason) {
        if (refused.add(call.id())) {
            refusals.merge(reason, 1, Integer::sum);
        }
    }

    boolean wasRefused(Call call) {
        return refused.contains(call.id());
    }

    /** Checks what the owner states: settled and held tokens never exceed what was really paid for. */
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

    /** Returns how many bills or billed tokens are more than the runs account for. */
    long doubleBills(ShardState shard) {
        long excess = 0;
        for (BudgetRef budget : prepaid.keySet()) {
            BudgetStatement b = statement(shard, budget);
            long distinct = ran.values().stream().filter(budget::equals).count();
            excess += Math.max(0, b.getBills() - distinct);
            if (b.getSettled() > spent.getOrDefault(budget, 0L)) {
                excess++;
            }
        }
        return excess;
    }

    /** Returns how many requests ran and have no bill. */
    long lostBills(ShardState shard) {
        return ran.entrySet().stream()
                .map(e -> shard.explain(ExplainQuery.newBuilder()
                        .setAccount(e.getValue().getAccount())
                        .setRequestId(e.getKey())
                        .build()))
                .filter(x -> !x.getKnown() || x.getBilledMs() == 0 || x.equals(Explanation.getDefaultInstance()))
                .count();
    }

    /** Returns the tokens that the owner still shows as held. */
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

    int secondRuns() {
        return secondRuns;
    }

    int requestsRun() {
        return ran.size();
    }

    Map<String, Integer> refusals() {
        return refusals;
    }
}
