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

/** Map from names to values, each with the configuration number of its last change. */
public final class VersionedMap<T extends MessageLite> {
    private final SortedMap<String, VersionedValue<T>> values = new TreeMap<>();

    public Optional<T> find(String name) {
        return Optional.ofNullable(values.get(name)).map(VersionedValue::value);
    }

    public List<T> all() {
        return values.values().stream().map(VersionedValue::value).toList();
    }

    public List<String> names() {
        return List.copyOf(values.keySet());
    }

    /** Returns the values that changed after a configuration number. */
    public List<T> changedAfter(long number) {
        return values.values().stream()
                .filter(s -> s.number() > number)
                .map(VersionedValue::value)
                .toList();
    }

    public void put(String name, T value, long number) {
        values.put(name, new VersionedValue<>(value, number));
    }

    public void remove(String name) {
        values.remove(name);
    }

    public void removeIf(Predicate<T> condition) {
        values.values().removeIf(s -> condition.test(s.value()));
    }

    /** Evicts the values with the oldest changes until at most the given number remain. */
    public void trim(int max) {
        while (values.size() > max) {
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

    public static <T extends MessageLite> VersionedMap<T> read(SnapshotReader in, Parser<T> parser) throws IOException {
        VersionedMap<T> all = new VersionedMap<>();
        in.all(() -> all.put(in.text(), in.message(parser), in.number()));
        return all;
    }

    private record VersionedValue<T>(T value, long number) {}
}
