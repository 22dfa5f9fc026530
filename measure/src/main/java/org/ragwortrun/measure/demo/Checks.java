package org.ragwortrun.measure.demo;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

/** Counts what was checked and collects what was wrong. */
final class Checks {
    private final PrintStream out;
    private final List<String> failures = new ArrayList<>();
    private int passed;

    Checks(PrintStream out) {
        this.out = out;
    }

    /** Checks that two values are equal. */
    void equal(String what, Object expected, Object actual) {
        if (Objects.equals(expected, actual)) {
            passed++;
        } else {
            fail(what + ": expected " + expected + " but was " + actual);
        }
    }

    void fail(String what) {
        failures.add(what);
        out.println("WRONG: " + what);
    }

    /** Prints the result and returns whether everything was right. */
    boolean report() {
        out.println("checks passed=" + passed + " failed=" + failures.size());
        failures.forEach(f -> out.println("failed: " + f));
        return failures.isEmpty() && passed > 0;
    }
}
