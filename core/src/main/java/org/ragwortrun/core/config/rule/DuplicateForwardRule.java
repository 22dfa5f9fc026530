package org.ragwortrun.core.config.rule;

import java.util.HashMap;
import java.util.Map;
import java.util.stream.Stream;
import org.ragwortrun.core.config.ConfigurationError;
import org.ragwortrun.core.config.ConfigurationRule;
import org.ragwortrun.core.config.Draft;
import org.ragwortrun.core.config.SectionKind;
import org.ragwortrun.proto.Section;

/** Checks that a host and path prefix lead to one forward. */
public final class DuplicateForwardRule implements ConfigurationRule {
    @Override
    public Stream<ConfigurationError> check(Draft draft) {
        Map<String, String> first = new HashMap<>();
        return draft
                .sections(SectionKind.FORWARD)
                .filter(s -> first.putIfAbsent(place(s), s.getName()) != null)
                .map(s -> Draft.error(
                        s,
                        "path",
                        "duplicate-forward",
                        "a host and path that forward " + first.getOrDefault(place(s), "") + " does not have"))
                .toList()
                .stream();
    }

    private static String place(Section s) {
        return s.getPropertiesOrDefault("host", "") + ' ' + s.getPropertiesOrDefault("path", "");
    }
}
