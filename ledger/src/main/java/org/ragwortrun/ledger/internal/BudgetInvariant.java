package org.ragwortrun.ledger.internal;

/** Checks that settled and outstanding tokens never exceed the prepaid tokens. */
final class BudgetInvariant {
    private BudgetInvariant() {}

    /**
     * Checks the sums after a state transition.
     *
     * @throws IllegalStateException if the transition would spend tokens that were not prepaid
     */
    static void check(long prepaid, long settled, long outstanding) {
        if (settled < 0 || outstanding < 0 || Math.addExact(settled, outstanding) > prepaid) {
            throw new IllegalStateException("budget would hold settled=" + settled + " outstanding=" + outstanding
                    + " with prepaid=" + prepaid);
        }
    }
}
