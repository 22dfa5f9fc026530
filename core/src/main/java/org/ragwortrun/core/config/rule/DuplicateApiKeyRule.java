package org.ragwortrun.core.config.rule;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.ragwortrun.core.config.ConfigurationError;
import org.ragwortrun.core.config.ConfigurationRule;
import org.ragwortrun.core.config.Draft;
import org.ragwortrun.core.config.SectionKind;

/** Checks that no two client accounts share an API key. */
public final class DuplicateApiKeyRule implements ConfigurationRule {
    @Override
    public Stream<ConfigurationError> check(Draft draft) {
        Map<String, String> first = new HashMap<>();
        List<ConfigurationError> errors = new ArrayList<>();
        draft.sections(SectionKind.ACCOUNT)
                .forEach(s -> ApiKeyFormRule.keys(s).distinct().forEach(key -> {
                    String other = first.putIfAbsent(key, s.getName());
                    if (other != null) {
                        errors.add(Draft.error(
                                s,
                                "keys",
                                "duplicate-api-key",
                                "a digest that account " + other + " does not have, not " + key));
                    }
                }));
        return errors.stream();
    }
}
