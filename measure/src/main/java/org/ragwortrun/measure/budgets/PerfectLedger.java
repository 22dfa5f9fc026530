package org.ragwortrun.measure.budgets;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.ragwortrun.proto.BudgetRef;

/** A global ledger without delay: admits a call if the worst case fits into what is neither used nor reserved. */
final class PerfectLedger {
    private final Map<BudgetRef, Long> left = new HashMap<>();
    private final Set<String> admitted = new HashSet<>();

    /** Returns the ids of the calls that a perfect ledger admits. */
    static Set<String> admitted(Scenario scenario) {
        EventQueue queue = new EventQueue();
        PerfectLedger ledger = new PerfectLedger();
        scenario.topUps()
                .forEach(t -> queue.at(
                        t.atMicros(),
                        () -> ledger.left.merge(t.topUp().getBudget(), t.topUp().getTokens(), Long::sum)));
        scenario.calls().forEach(c -> queue.at(c.atMicros(), () -> ledger.arrive(c, queue)));
        queue.runUntil(scenario.lengthMicros());
        return ledger.admitted;
    }

    private void arrive(Call call, EventQueue queue) {
        if (left.getOrDefault(call.budget(), 0L) >= call.worst()) {
            admitted.add(call.id());
            left.merge(call.budget(), -call.worst(), Long::sum);
            queue.after(call.durationMicros(), () -> left.merge(call.budget(), call.worst() - call.used(), Long::sum));
        }
    }
}
