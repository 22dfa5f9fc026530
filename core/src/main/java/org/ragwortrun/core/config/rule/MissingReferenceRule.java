package org.ragwortrun.core.config.rule;

import java.util.Arrays;
import java.util.stream.Stream;
import org.ragwortrun.core.config.ConfigurationError;
import org.ragwortrun.core.config.ConfigurationRule;
import org.ragwortrun.core.config.Draft;
import org.ragwortrun.core.config.SectionKind;
import org.ragwortrun.proto.Section;

/** Checks that referenced accounts, services and origins exist. */
public final class MissingReferenceRule implements ConfigurationRule {
    private static final String SERVICE = "service";

    @Override
    public Stream<ConfigurationError> check(Draft draft) {
        Stream<ConfigurationError> keys = Stream.of(SectionKind.ROUTE, SectionKind.ENDPOINT, SectionKind.MOVE)
                .flatMap(draft::sections)
                .filter(s -> s.containsProperties(SERVICE))
                .flatMap(s -> missing(draft, s, SERVICE, SectionKind.SERVICE, s.getPropertiesOrDefault(SERVICE, "")));
        return Stream.of(
                        keys,
                        draft.sections(SectionKind.BUDGET).flatMap(s -> budget(draft, s)),
                        draft.sections(SectionKind.FORWARD).flatMap(s -> forward(draft, s)))
                .flatMap(e -> e);
    }

    private static Stream<ConfigurationError> forward(Draft draft, Section s) {
        return Arrays.stream(s.getPropertiesOrDefault("to", "").split(","))
                .map(item -> item.trim().split(":", 2)[0])
                .filter(name -> !name.isEmpty())
                .flatMap(name -> missing(draft, s, "to", SectionKind.ORIGIN, name));
    }

    private static Stream<ConfigurationError> budget(Draft draft, Section s) {
        String[] parts = s.getName().split("/", 2);
        return parts.length < 2
                ? missing(draft, s, "", SectionKind.ACCOUNT, parts[0])
                : Stream.concat(
                        missing(draft, s, "", SectionKind.ACCOUNT, parts[0]),
                        missing(draft, s, "", SectionKind.SERVICE, parts[1]));
    }

    private static Stream<ConfigurationError> missing(
            Draft draft, Section s, String key, SectionKind kind, String name) {
        return draft.has(kind, name)
                ? Stream.empty()
                : Stream.of(Draft.error(
                        s, key, "missing-reference", "a section [" + kind.text() + " " + name + "] in the files"));
    }
}
