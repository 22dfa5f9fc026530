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

/** Sections in force and the names of removed ones, so that the change since an earlier number can be told. */
public final class SectionStore {
    private static final int MOST_REMOVED = 10_000;

    private Versioned<Section> present = new Versioned<>();
    private Versioned<SectionId> removed = new Versioned<>();
    // Changes after this number can be told; older removals have been forgotten.
    private long knownFrom;
    private final int mostRemoved;

    public SectionStore() {
        this(MOST_REMOVED);
    }

    SectionStore(int mostRemoved) {
        this.mostRemoved = mostRemoved;
    }

    public List<Section> all() {
        return present.all();
    }

    /** Replaces all sections. A section counts as changed if its properties differ; its file and line do not count. */
    public void replace(Collection<Section> next, long number) {
        Map<String, Section> byName = next.stream()
                .collect(Collectors.toMap(s -> key(s.getKind(), s.getName()), Function.identity(), (a, b) -> b));
        Set<String> gone =
                present.names().stream().filter(n -> !byName.containsKey(n)).collect(Collectors.toUnmodifiableSet());
        for (String name : gone) {
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
        if (removed.all().size() > mostRemoved) {
            removed = new Versioned<>();
            knownFrom = number;
        }
    }

    /** Tells whether the change since a number can be told. */
    public boolean knowsSince(long number) {
        return number >= knownFrom;
    }

    /** Returns the changed sections that daemons need. Budgets are not among them. */
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
        out.number(knownFrom);
    }

    public static SectionStore read(SnapshotReader in) throws IOException {
        SectionStore s = new SectionStore();
        s.present = Versioned.read(in, Section.parser());
        s.removed = Versioned.read(in, SectionId.parser());
        s.knownFrom = in.number();
        return s;
    }
}
