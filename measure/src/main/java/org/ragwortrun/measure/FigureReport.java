package org.ragwortrun.measure;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;

/**
 * Collects the figures of one measurement and prints them as its last lines.
 *
 * <p>A measurement that covered nothing fails, whatever its figures are.
 */
public final class FigureReport {
    private final PrintStream out;
    private final long seed;
    private final List<String> lines = new ArrayList<>();
    private final List<String> misses = new ArrayList<>();

    public FigureReport(PrintStream out, long seed) {
        this.out = out;
        this.seed = seed;
    }

    /** Prints how many requests, moves or faults the run covered. A count of 0 fails the measurement. */
    public void covered(String what, long count) {
        out.println("covered " + what + "=" + count);
        if (count <= 0) {
            misses.add("no " + what + " were covered");
        }
    }

    /** Prints a note immediately, before the figures. */
    public void note(String text) {
        out.println(text);
    }

    /** Adds a figure. */
    public void figure(String name, double value, String unit, Bound bound) {
        lines.add(name + "=" + Bound.number(value) + " unit=" + unit + " bound=" + bound.text() + " seed=" + seed);
        if (Double.isNaN(value) || !bound.holds(value)) {
            misses.add(name + " misses its bound");
        }
    }

    /** Prints the figures and returns whether every bound holds and everything was covered. */
    public boolean finish() {
        misses.forEach(m -> out.println("missed: " + m));
        lines.forEach(out::println);
        return misses.isEmpty();
    }
}
