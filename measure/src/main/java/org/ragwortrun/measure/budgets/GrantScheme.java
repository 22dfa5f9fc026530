package org.ragwortrun.measure.budgets;

import org.ragwortrun.ledger.GrantPolicy;
import org.ragwortrun.ledger.PoolSettings;

/**
 * A way to hand out tokens.
 *
 * @param recalls whether the owner recalls grants before it refuses
 */
record GrantScheme(String name, GrantPolicy policy, PoolSettings settings, boolean recalls) {
    private static final long NEVER = Long.MAX_VALUE / 2;

    /** Returns the product's design: grants by demand, with recall. */
    static GrantScheme grants() {
        return new GrantScheme("grants", GrantPolicy.demand(), PoolSettings.defaults(), true);
    }

    /** Returns the baseline in which each request asks the owner. */
    static GrantScheme central() {
        PoolSettings atOnce = new PoolSettings(2_000, 10_000, NEVER, NEVER);
        return new GrantScheme("central", GrantPolicy.exact(), atOnce, false);
    }

    /** Returns the baseline in which each router has an equal part that never moves. */
    static GrantScheme equalSplit() {
        PoolSettings keep = new PoolSettings(2_000, NEVER, 0, NEVER);
        return new GrantScheme("split", GrantPolicy.equalSplit(Scenario.DATA_CENTERS), keep, false);
    }
}
