package org.ragwortrun.core.config.rule;

import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.ragwortrun.core.config.ConfigurationError;
import org.ragwortrun.core.config.ConfigurationRule;
import org.ragwortrun.core.config.Draft;
import org.ragwortrun.core.config.SectionKind;

/** Checks the form of paths. */
public final class PathFormRule implements ConfigurationRule {
    private static final Pattern FORM = Pattern.compile("/[A-Za-z0-9._~%!$&'()*+,;=:@/-]*");

    @Override
    public Stream<ConfigurationError> check(Draft draft) {
        return draft.sections(SectionKind.ROUTE)
                .filter(s -> s.containsProperties("path"))
                .filter(s -> !FORM.matcher(s.getPropertiesOrDefault("path", "")).matches())
                .map(s -> Draft.error(s, "path", "path-form", "a path that starts with / and has no query"));
    }
}
