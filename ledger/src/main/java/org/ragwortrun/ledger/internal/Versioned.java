package org.ragwortrun.ledger.internal;

import com.google.protobuf.MessageLite;
import com.google.protobuf.Parser;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Predicate;

/** Values by name, each with the configuration number of its last change. */
public final class Versioned<T extends MessageLite> {
    private final SortedMap<String, Stamped<T>> values = new TreeMap<>();

    public Optional<T> find(String name) {
        return Optional.ofNullable(values.get(name)).map(Stamped::value);
    }

    public List<T> all() {
        return values.values().stream().map(Stamped::value).toList();
    }

    public List<String> names() {
        return List.copyOf(values.keySet());
    }

    /** Returns the values that changed after a number. */
    public List<T> changedAfter(long number) {
        return values.values().stream()
                .filter(s -> s.number() > number)
                .map(Stamped::value)
                .toList();
    }

    public void put(String name, T value, long number) {
        values.put(name, new Stamped<>(value, number));
    }

    public void remove(String name) {
        values.remove(name);
    }

    public void removeIf(Predicate<T> condition) {
        values.values().removeIf(s -> condition.test(s.value()));
    }

    /** Removes the values that changed longest ago until at most a number of values remain. */
    public void trim(int most) {
        while (values.size() > most) {
            values.entrySet().stream()
                    .min(Map.Entry.comparingByValue((a, b) -> Long.compare(a.number(), b.number())))
                    .map(Map.Entry::getKey)
                    .ifPresent(values::remove);
        }
    }

    public void write(SnapshotWriter out) throws IOException {
        out.all(values.entrySet(), e -> {
            out.text(e.getKey());
            out.message(e.getValue().value());
            out.number(e.getValue().number());
        });
    }

    public static <T extends MessageLite> Versioned<T> read(SnapshotReader in, Parser<T> parser) throws IOException {
        Versioned<T> all = new Versioned<>();
        in.all(() -> all.put(in.text(), in.message(parser), in.number()));
        return all;
    }

    private record Stamped<T>(T value, long number) {}
}
