package org.ragwortrun.measure.budgets;

/** Is notified of each request that is refused to its caller. */
@FunctionalInterface
interface RefusalListener {
    void onRefused(Call call, String reason);
}
