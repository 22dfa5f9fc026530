package org.ragwortrun.measure.budgets;

/** Receives the refusals that callers get. */
@FunctionalInterface
interface Outcomes {
    void refused(Call call, String reason);
}
