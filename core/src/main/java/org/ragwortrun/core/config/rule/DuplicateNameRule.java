package org.ragwortrun.core.config.rule;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.ragwortrun.core.config.ConfigurationError;
import org.ragwortrun.core.config.ConfigurationRule;
import org.ragwortrun.core.config.Draft;
import org.ragwortrun.proto.Section;

/** Checks that no two sections have the same kind and name. */
public final class DuplicateNameRule implements ConfigurationRule {
    @Override
    public Stream<ConfigurationError> check(Draft draft) {
        Map<String, Section> first = new HashMap<>();
        List<ConfigurationError> errors = new ArrayList<>();
        draft.sections().forEach(s -> {
            Section other = first.putIfAbsent(s.getKind() + " " + s.getName(), s);
            if (other != null) {
                errors.add(Draft.error(
                        s,
                        "",
                        "duplicate-name",
                        "another name than the section at " + other.getFile() + ":" + other.getLine()));
            }
        });
        return errors.stream();
    }
}
