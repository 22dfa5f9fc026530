package org.ragwortrun.ledger;

/** Prints the seeds and the coverage of a randomized test, so that a run can be replayed. */
final class SeedReport {
    private SeedReport() {}

    static void print(String test, long first, long count, String covered) {
        System.out.println(test + " seeds=" + first + ".." + (first + count - 1) + " " + covered);
    }
}
