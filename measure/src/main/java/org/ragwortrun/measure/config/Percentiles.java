package org.ragwortrun.measure.config;

import java.util.Collection;
import java.util.List;

/** Percentiles of a list of values. */
final class Percentiles {
    private final List<Double> sorted;

    Percentiles(Collection<Double> values) {
        sorted = values.stream().sorted().toList();
    }

    /** Returns the smallest value that a share of all values does not exceed, 0 if there is none. */
    double at(double share) {
        if (sorted.isEmpty()) {
            return 0;
        }
        int index = (int) Math.ceil(share * sorted.size()) - 1;
        return sorted.get(Math.max(0, index));
    }
}
