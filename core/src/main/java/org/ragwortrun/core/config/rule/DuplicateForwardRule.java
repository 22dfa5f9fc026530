package org.ragwortrun.core.config.rule;

import java.util.HashMap;
import java.util.Map;
import java.util.stream.Stream;
import org.ragwortrun.core.config.ConfigurationError;
import org.ragwortrun.core.config.ConfigurationRule;
import org.ragwortrun.core.config.Draft;
import org.ragwortrun.core.config.SectionKind;
import org.ragwortrun.proto.Section;

/** Checks that no two forwards have the same host and path prefix. */
public final class DuplicateForwardRule implements ConfigurationRule {
    @Override
    public Stream<ConfigurationError> check(Draft draft) {
        Map<String, String> first = new HashMap<>();
        return draft
                .sections(SectionKind.FORWARD)
                .filter(s -> first.putIfAbsent(hostAndPath(s), s.getName()) != null)
                .map(s -> Draft.error(
                        s,
                        "path",
                        "duplicate-forward",
                        "a host and path that forward " + first.getOrDefault(hostAndPath(s), "") + " does not have"))
                .toList()
                .stream();
    }

    private static String hostAndPath(Section s) {
        return s.getPropertiesOrDefault("host", "") + ' ' + s.getPropertiesOrDefault("path", "");
    }
}
