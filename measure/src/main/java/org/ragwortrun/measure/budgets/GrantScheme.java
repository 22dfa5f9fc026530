package org.ragwortrun.measure.budgets;

import org.ragwortrun.ledger.GrantPolicy;
import org.ragwortrun.ledger.PoolSettings;

/**
 * A scheme for granting tokens to routers.
 *
 * @param recalls whether the owner recalls grants from other routers before it refuses a request
 */
record GrantScheme(String name, GrantPolicy policy, PoolSettings settings, boolean recalls) {
    private static final long NEVER = Long.MAX_VALUE / 2;

    /** Returns the product's design: grants by demand, with recall. */
    static GrantScheme grants() {
        return new GrantScheme("grants", GrantPolicy.demand(), PoolSettings.defaults(), true);
    }

    /** Returns the baseline in which the owner grants the tokens of each request separately. */
    static GrantScheme central() {
        PoolSettings atOnce = new PoolSettings(2_000, 10_000, NEVER, NEVER);
        return new GrantScheme("central", GrantPolicy.exact(), atOnce, false);
    }

    /** Returns the baseline in which each router has a fixed, equal part of the budget. */
    static GrantScheme equalSplit() {
        PoolSettings keep = new PoolSettings(2_000, NEVER, 0, NEVER);
        return new GrantScheme("split", GrantPolicy.equalSplit(Scenario.DATA_CENTERS), keep, false);
    }
}
