package org.ragwortrun.measure.budgets;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.ragwortrun.proto.BudgetRef;

/** A global ledger without delay: admits a call if its maximum fits the tokens that are neither used nor reserved. */
final class PerfectLedger {
    private final Map<BudgetRef, Long> availableTokens = new HashMap<>();
    private final Set<String> admitted = new HashSet<>();

    /** Returns the ids of the calls that a perfect ledger admits. */
    static Set<String> admitted(Scenario scenario) {
        EventQueue queue = new EventQueue();
        PerfectLedger ledger = new PerfectLedger();
        scenario.topUps()
                .forEach(t -> queue.at(
                        t.atMicros(),
                        () -> ledger.availableTokens.merge(
                                t.topUp().getBudget(), t.topUp().getTokens(), Long::sum)));
        scenario.calls().forEach(c -> queue.at(c.atMicros(), () -> ledger.admitIfAffordable(c, queue)));
        queue.runUntil(scenario.lengthMicros());
        return ledger.admitted;
    }

    private void admitIfAffordable(Call call, EventQueue queue) {
        if (availableTokens.getOrDefault(call.budget(), 0L) >= call.maxTokens()) {
            admitted.add(call.id());
            availableTokens.merge(call.budget(), -call.maxTokens(), Long::sum);
            queue.after(
                    call.durationMicros(),
                    () -> availableTokens.merge(call.budget(), call.maxTokens() - call.usedTokens(), Long::sum));
        }
    }
}
