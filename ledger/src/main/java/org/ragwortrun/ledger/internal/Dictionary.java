package org.ragwortrun.ledger.internal;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Assigns numbers to values that many records share, so that each value is stored once. */
final class Dictionary<T> {
    private final Map<T, Integer> numbers = new HashMap<>();
    private final List<T> values = new ArrayList<>();

    int number(T value) {
        Integer known = numbers.putIfAbsent(value, values.size());
        if (known != null) {
            return known;
        }
        values.add(value);
        return values.size() - 1;
    }

    T value(int number) {
        return values.get(number);
    }

    void write(SnapshotWriter out, SnapshotWriter.Element<T> element) throws IOException {
        out.all(values, element);
    }
}
