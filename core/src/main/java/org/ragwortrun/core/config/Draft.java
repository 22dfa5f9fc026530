package org.ragwortrun.core.config;

import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.ragwortrun.proto.Section;

/** Input of a check: the sections to be published, the sections in force and the time. Immutable. */
public final class Draft {
    private final List<SourceSection> sources;
    private final Map<String, Section> previous = new LinkedHashMap<>();
    private final Set<String> names = new HashSet<>();
    private final long wallMillis;

    Draft(List<SourceSection> sources, Collection<Section> previous, long wallMillis) {
        this.sources = List.copyOf(sources);
        this.wallMillis = wallMillis;
        previous.forEach(s -> this.previous.put(id(s.getKind(), s.getName()), s));
        sources.forEach(s -> names.add(id(s.section().getKind(), s.section().getName())));
    }

    public List<SourceSection> sources() {
        return sources;
    }

    public Stream<Section> sections() {
        return sources.stream().map(SourceSection::section);
    }

    public Stream<Section> sections(SectionKind kind) {
        return sections().filter(s -> s.getKind().equals(kind.text()));
    }

    public boolean has(SectionKind kind, String name) {
        return names.contains(id(kind.text(), name));
    }

    /** Returns the section of this name in the configuration in force. */
    public Optional<Section> previous(SectionKind kind, String name) {
        return Optional.ofNullable(previous.get(id(kind.text(), name)));
    }

    public Stream<Section> previous(SectionKind kind) {
        return previous.values().stream().filter(s -> s.getKind().equals(kind.text()));
    }

    /** Returns whether the configuration in force has the section with the same keys and values. */
    public boolean isUnchanged(Section section) {
        Section before = previous.get(id(section.getKind(), section.getName()));
        return before != null && before.getPropertiesMap().equals(section.getPropertiesMap());
    }

    /** Returns the wall-clock time of the check in milliseconds since 1970. */
    public long wallMillis() {
        return wallMillis;
    }

    /** Returns an error at a section, with the line of its header. The checker replaces it with the line of the key. */
    public static ConfigurationError error(Section s, String key, String rule, String expected) {
        return new ConfigurationError(s.getFile(), s.getLine(), s.getKind() + " " + s.getName(), key, rule, expected);
    }

    private static String id(String kind, String name) {
        return kind + ' ' + name;
    }
}
