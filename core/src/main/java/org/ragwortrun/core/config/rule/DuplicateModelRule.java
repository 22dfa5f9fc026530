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

/** Checks that no two services offer the same model, since requests name only the model. */
public final class DuplicateModelRule implements ConfigurationRule {
    @Override
    public Stream<ConfigurationError> check(Draft draft) {
        Map<String, String> first = new HashMap<>();
        List<ConfigurationError> errors = new ArrayList<>();
        draft.sections(SectionKind.SERVICE).forEach(s -> {
            String model = s.getPropertiesOrDefault("model", "");
            String other = model.isBlank() ? null : first.putIfAbsent(model, s.getName());
            if (other != null) {
                errors.add(Draft.error(
                        s, "model", "duplicate-model", "a model that service " + other + " does not offer"));
            }
        });
        return errors.stream();
    }
}
