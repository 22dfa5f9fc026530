package org.ragwortrun.core.config.rule;

import java.util.stream.Stream;
import org.ragwortrun.core.config.ConfigurationError;
import org.ragwortrun.core.config.ConfigurationRule;
import org.ragwortrun.core.config.Draft;
import org.ragwortrun.core.config.SectionKind;
import org.ragwortrun.proto.Section;

/** Checks that a model service has a model name and a plain service has none. */
public final class ServiceModelRule implements ConfigurationRule {
    private static final String MODEL = "model";

    @Override
    public Stream<ConfigurationError> check(Draft draft) {
        return draft.sections(SectionKind.SERVICE).flatMap(ServiceModelRule::check);
    }

    private static Stream<ConfigurationError> check(Section s) {
        String kind = s.getPropertiesOrDefault("kind", "");
        boolean named = !s.getPropertiesOrDefault(MODEL, "").isBlank();
        if (MODEL.equals(kind) && !named) {
            return Stream.of(Draft.error(s, MODEL, "service-model", "the model name that requests carry"));
        }
        if ("plain".equals(kind) && named) {
            return Stream.of(Draft.error(s, MODEL, "service-model", "no model for a plain service"));
        }
        return Stream.empty();
    }
}
