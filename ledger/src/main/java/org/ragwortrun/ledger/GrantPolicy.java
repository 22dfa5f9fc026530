package org.ragwortrun.ledger;

/** Decides how many tokens the owner of a budget grants to a router. */
@FunctionalInterface
public interface GrantPolicy {
    /** Share of what is left that all routers together may take with one grant each. */
    int REMAINING_DIVISOR = 4;

    /**
     * Returns the size of a grant. The owner asks only if the minimum is available, never grants more than what is
     * available, and refuses if the size is below the minimum.
     */
    long size(Ask ask);

    /** Part of what is available that routers with a target may hold together; the rest is left for new holders. */
    double HELD_PART = 0.75;

    /**
     * Grants what demand asks for, at most a quarter of what is left divided by the routers that hold grants. Routers
     * that want to outlast a cut share most of what is left in proportion to their targets, so that each holds as much
     * time of its demand as the others.
     */
    static GrantPolicy demand() {
        return a -> {
            long equal = a.available() / ((long) REMAINING_DIVISOR * a.holders());
            double part = HELD_PART * a.target() / Math.max(1, a.target() + a.otherTargets());
            long most = a.target() > 0 ? (long) (a.available() * part) : equal;
            return Math.max(a.minimum(), Math.min(a.wanted(), most));
        };
    }

    /** Grants exactly what the request needs, so that each request asks the owner. */
    static GrantPolicy exact() {
        return Ask::minimum;
    }

    /**
     * Grants an equal part of what is prepaid to each router and nothing beyond it.
     *
     * @param routers routers among which each budget is split
     */
    static GrantPolicy equalSplit(int routers) {
        return a -> Math.max(0, a.prepaid() / routers - a.taken());
    }

    /**
     * A request for tokens as the owner sees it.
     *
     * @param prepaid tokens paid for so far
     * @param settled tokens billed so far
     * @param available tokens neither billed nor granted
     * @param taken tokens granted to this router so far, without what it has returned
     * @param holders routers that hold grants, with the one that asks
     * @param minimum least amount that is useful
     * @param wanted amount that the router's demand asks for
     * @param target tokens that the router wants to hold to outlast a cut, 0 for none
     * @param otherTargets sum of the targets of the other routers
     */
    record Ask(
            long prepaid,
            long settled,
            long available,
            long taken,
            int holders,
            long minimum,
            long wanted,
            long target,
            long otherTargets) {}
}
