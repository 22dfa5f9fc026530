package org.ragwortrun.ledger;

/** Decides how many tokens the owner of a budget grants to a router. */
@FunctionalInterface
public interface GrantPolicy {
    /** Divisor of the available tokens: one grant to each holder takes at most this fraction. */
    int REMAINING_DIVISOR = 4;

    /**
     * Returns the size of a grant. The owner calls this only if the minimum is available. It never grants more than the
     * available tokens, and refuses the request if the size is below the minimum.
     */
    long size(Request request);

    /** Fraction of the available tokens that routers with a target share; the rest is left for new holders. */
    double MAX_HELD_FRACTION = 0.75;

    /**
     * Returns a policy that grants the wanted tokens, up to a quarter of the available tokens divided by the number of
     * holders. Routers with a target share most of the available tokens in proportion to their targets, so that each
     * router's tokens cover its demand for the same time during a network partition.
     */
    static GrantPolicy demand() {
        return a -> {
            long equal = a.available() / ((long) REMAINING_DIVISOR * a.holders());
            double fraction = MAX_HELD_FRACTION * a.target() / Math.max(1, a.target() + a.otherTargets());
            long max = a.target() > 0 ? (long) (a.available() * fraction) : equal;
            return Math.max(a.minimum(), Math.min(a.wanted(), max));
        };
    }

    /** Returns a policy that grants exactly the minimum, so that every request needs a grant of its own. */
    static GrantPolicy exact() {
        return Request::minimum;
    }

    /**
     * Returns a policy that grants each router an equal share of the prepaid tokens and no more.
     *
     * @param routers routers among which each budget is split
     */
    static GrantPolicy equalSplit(int routers) {
        return a -> Math.max(0, a.prepaid() / routers - a.netGranted());
    }

    /**
     * A grant request together with the state of its budget.
     *
     * @param prepaid tokens prepaid so far
     * @param settled tokens billed so far
     * @param available tokens neither billed nor granted
     * @param netGranted tokens granted to this router so far, minus those it has returned
     * @param holders number of routers that hold grants, including the requesting one
     * @param minimum smallest grant that is useful to the router
     * @param wanted tokens that match the router's demand
     * @param target tokens that the router wants to hold for a network partition, 0 for none
     * @param otherTargets sum of the targets of the other routers
     */
    record Request(
            long prepaid,
            long settled,
            long available,
            long netGranted,
            int holders,
            long minimum,
            long wanted,
            long target,
            long otherTargets) {}
}
