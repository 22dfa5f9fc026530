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

/** What really happened, seen from outside all processes. */
final class GroundTruth {
    private final Map<BudgetRef, Long> prepaid = new HashMap<>();
    private final Map<BudgetRef, Long> spent = new HashMap<>();
    private final Map<String, BudgetRef> ran = new HashMap<>();
    private final Map<String, Integer> runs = new HashMap<>();
    private final Map<String, Reserved> reserved = new HashMap<>();
    private final Map<BudgetRef, Long> reservedSums = new HashMap<>();
    private final Map<BudgetRef, Long> owed = new HashMap<>();
    private final Set<String> admissible = new HashSet<>();
    private final Set<String> refused = new HashSet<>();
    private final Map<String, Integer> refusals = new TreeMap<>();
    private final Map<String, Integer> falseRefusals = new TreeMap<>();
    private final EventQueue queue;
    private long overspend;
    private int ordersRunTwice;
    private int secondRuns;

    GroundTruth(EventQueue queue) {
        this.queue = queue;
    }

    void paid(BudgetRef budget, long tokens) {
        prepaid.merge(budget, tokens, Long::sum);
    }

    /** Notes tokens that are really set aside for a run, whichever process knows of them. */
    void reserve(String run, BudgetRef budget, long tokens) {
        if (reserved.putIfAbsent(run, new Reserved(budget, tokens)) == null) {
            reservedSums.merge(budget, tokens, Long::sum);
        }
    }

    void unreserve(String run) {
        Reserved r = reserved.remove(run);
        if (r != null) {
            reservedSums.merge(r.budget, -r.tokens, Long::sum);
        }
    }

    /** Frees what is set aside for all runs of a call. */
    void unreserveAll(Call call) {
        List.copyOf(reserved.keySet()).stream()
                .filter(run -> run.startsWith(call.id() + '#'))
                .forEach(this::unreserve);
    }

    /**
     * Notes whether a perfect ledger would admit a call that arrives now. The perfect ledger knows everything at once.
     * It has admitted every call that was admitted here, and every call that was refused here though it would have
     * admitted it; so tokens that nobody reaches count for as many calls as they would have paid for, not for each call
     * that is refused while they last.
     */
    void arrived(Call call) {
        long left = prepaid.getOrDefault(call.budget(), 0L)
                - spent.getOrDefault(call.budget(), 0L)
                - reservedSums.getOrDefault(call.budget(), 0L)
                - owed.getOrDefault(call.budget(), 0L);
        if (left >= call.worst()) {
            admissible.add(call.id());
        }
    }

    /** Returns the calls that the perfect ledger would admit. */
    Set<String> admissible() {
        return admissible;
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
            if (admissible.contains(call.id())) {
                falseRefusals.merge(reason, 1, Integer::sum);
                owed.merge(call.budget(), call.worst(), Long::sum);
                queue.after(
                        call.durationMicros(), () -> owed.merge(call.budget(), call.used() - call.worst(), Long::sum));
            }
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

    private record Reserved(BudgetRef budget, long tokens) {}

    int secondRuns() {
        return secondRuns;
    }

    int requestsRun() {
        return ran.size();
    }

    Map<String, Integer> falseRefusals() {
        return falseRefusals;
    }

    Map<String, Integer> refusals() {
        return refusals;
    }
}
