package org.ragwortrun.core.config.rule;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.ragwortrun.core.config.ConfigurationError;
import org.ragwortrun.core.config.ConfigurationRule;
import org.ragwortrun.core.config.Draft;
import org.ragwortrun.core.config.SectionKind;
import org.ragwortrun.proto.Section;

/** Checks that no two routes have the same path. Routes of different model services may share a path. */
public final class DuplicatePathRule implements ConfigurationRule {
    @Override
    public Stream<ConfigurationError> check(Draft draft) {
        Set<String> models = draft.sections(SectionKind.SERVICE)
                .filter(s -> "model".equals(s.getPropertiesOrDefault("kind", "")))
                .map(Section::getName)
                .collect(Collectors.toSet());
        Map<String, List<Section>> byPath = new HashMap<>();
        List<ConfigurationError> errors = new ArrayList<>();
        draft.sections(SectionKind.ROUTE)
                .filter(s -> s.containsProperties("path"))
                .forEach(s -> {
                    List<Section> earlier =
                            byPath.computeIfAbsent(s.getPropertiesOrDefault("path", ""), p -> new ArrayList<>());
                    earlier.stream()
                            .filter(e -> collide(e, s, models))
                            .findFirst()
                            .ifPresent(e -> errors.add(Draft.error(
                                    s,
                                    "path",
                                    "duplicate-path",
                                    "a path that route " + e.getName() + " does not have")));
                    earlier.add(s);
                });
        return errors.stream();
    }

    private static boolean collide(Section a, Section b, Set<String> models) {
        String first = a.getPropertiesOrDefault("service", "");
        String second = b.getPropertiesOrDefault("service", "");
        return first.equals(second) || !models.contains(first) || !models.contains(second);
    }
}
