package org.ragwortrun.measure;

import java.util.Locale;

/** Limit that a figure is held against. */
public interface Bound {
    /** Returns whether a value meets the bound. */
    boolean holds(double value);

    /** Returns the form in a figure's line. */
    String text();

    /** The value must not exceed the limit. */
    static Bound atMost(double limit) {
        return new Bound() {
            @Override
            public boolean holds(double value) {
                return value <= limit;
            }

            @Override
            public String text() {
                return "<=" + number(limit);
            }
        };
    }

    /** The value must reach the limit. */
    static Bound atLeast(double limit) {
        return new Bound() {
            @Override
            public boolean holds(double value) {
                return value >= limit;
            }

            @Override
            public String text() {
                return ">=" + number(limit);
            }
        };
    }

    /** No target is stated. */
    static Bound none() {
        return new Bound() {
            @Override
            public boolean holds(double value) {
                return true;
            }

            @Override
            public String text() {
                return "none";
            }
        };
    }

    /** Formats a value without trailing zeros. */
    static String number(double value) {
        if (value == Math.rint(value) && Math.abs(value) < 1e15) {
            return Long.toString((long) value);
        }
        return String.format(Locale.ROOT, "%.5g", value);
    }
}
