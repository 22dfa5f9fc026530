package org.ragwortrun.ledger.internal;

import java.io.IOException;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.ragwortrun.core.config.SectionKind;
import org.ragwortrun.proto.Section;
import org.ragwortrun.proto.SectionId;

/** Current sections and the names of removed ones, from which the changes since an earlier number are computed. */
public final class SectionStore {
    private static final int MAX_REMOVED = 10_000;

    private VersionedMap<Section> present = new VersionedMap<>();
    private VersionedMap<SectionId> removed = new VersionedMap<>();
    // Changes after this number are known; older removals have been evicted.
    private long changesKnownFrom;
    private final int maxRemoved;

    public SectionStore() {
        this(MAX_REMOVED);
    }

    SectionStore(int mostRemoved) {
        this.maxRemoved = mostRemoved;
    }

    public List<Section> all() {
        return present.all();
    }

    /** Replaces all sections. A section is changed if its properties differ; its file and line are ignored. */
    public void replace(Collection<Section> next, long number) {
        Map<String, Section> byName = next.stream()
                .collect(Collectors.toMap(s -> key(s.getKind(), s.getName()), Function.identity(), (a, b) -> b));
        Set<String> removedNames =
                present.names().stream().filter(n -> !byName.containsKey(n)).collect(Collectors.toUnmodifiableSet());
        for (String name : removedNames) {
            Section s = present.find(name).orElseThrow();
            present.remove(name);
            removed.put(
                    name,
                    SectionId.newBuilder()
                            .setKind(s.getKind())
                            .setName(s.getName())
                            .build(),
                    number);
        }
        byName.forEach((name, section) -> {
            boolean same = present.find(name)
                    .map(p -> p.getPropertiesMap().equals(section.getPropertiesMap()))
                    .orElse(false);
            if (!same) {
                present.put(name, section, number);
            }
            removed.remove(name);
        });
        if (removed.all().size() > maxRemoved) {
            removed = new VersionedMap<>();
            changesKnownFrom = number;
        }
    }

    /** Returns whether the changes since a configuration number are known. */
    public boolean hasChangesSince(long number) {
        return number >= changesKnownFrom;
    }

    /** Returns the changed sections that daemons need, which excludes budgets. */
    public List<Section> changedAfter(long number) {
        return present.changedAfter(number).stream()
                .filter(s -> isForDaemons(s.getKind()))
                .toList();
    }

    public List<SectionId> removedAfter(long number) {
        return removed.changedAfter(number).stream()
                .filter(s -> isForDaemons(s.getKind()))
                .toList();
    }

    private static boolean isForDaemons(String kind) {
        return !kind.equals(SectionKind.BUDGET.text());
    }

    private static String key(String kind, String name) {
        return kind + ' ' + name;
    }

    public void write(SnapshotWriter out) throws IOException {
        present.write(out);
        removed.write(out);
        out.number(changesKnownFrom);
    }

    public static SectionStore read(SnapshotReader in) throws IOException {
        SectionStore s = new SectionStore();
        s.present = VersionedMap.read(in, Section.parser());
        s.removed = VersionedMap.read(in, SectionId.parser());
        s.changesKnownFrom = in.number();
        return s;
    }
}
