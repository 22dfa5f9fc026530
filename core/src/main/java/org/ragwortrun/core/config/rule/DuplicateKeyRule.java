package org.ragwortrun.core.config.rule;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.ragwortrun.core.config.ConfigurationError;
import org.ragwortrun.core.config.ConfigurationRule;
import org.ragwortrun.core.config.Draft;
import org.ragwortrun.core.config.SourceSection;
import org.ragwortrun.core.config.SourceSection.KeyLine;
import org.ragwortrun.proto.Section;

/** Checks that no key is set twice in a section. */
public final class DuplicateKeyRule implements ConfigurationRule {
    @Override
    public Stream<ConfigurationError> check(Draft draft) {
        return draft.sources().stream().flatMap(DuplicateKeyRule::check);
    }

    private static Stream<ConfigurationError> check(SourceSection source) {
        Section s = source.section();
        Map<String, Integer> first = new HashMap<>();
        List<ConfigurationError> errors = new ArrayList<>();
        for (KeyLine k : source.keys()) {
            Integer line = first.putIfAbsent(k.key(), k.line());
            if (line != null) {
                errors.add(new ConfigurationError(
                        s.getFile(),
                        k.line(),
                        s.getKind() + " " + s.getName(),
                        k.key(),
                        "duplicate-key",
                        "the key once; it stands at line " + line + " too"));
            }
        }
        return errors.stream();
    }
}
