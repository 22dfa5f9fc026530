package org.ragwortrun.measure;

import java.util.Locale;

/** A limit against which a figure is checked. */
public interface Bound {
    /** Returns whether a value meets the bound. */
    boolean holds(double value);

    /** Returns the bound as it is printed with a figure. */
    String text();

    /** Returns a bound that a value meets if it does not exceed the limit. */
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

    /** Returns a bound that a value meets if it is not below the limit. */
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

    /** Returns a bound that every value meets, for figures without a target. */
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
