package org.ragwortrun.core.config.rule;

import java.util.Arrays;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.ragwortrun.core.config.ConfigurationError;
import org.ragwortrun.core.config.ConfigurationRule;
import org.ragwortrun.core.config.Draft;
import org.ragwortrun.core.config.SectionKind;

/** Checks that every section has a known kind. */
public final class UnknownKindRule implements ConfigurationRule {
    private static final String KINDS =
            Arrays.stream(SectionKind.values()).map(SectionKind::text).collect(Collectors.joining(", "));

    @Override
    public Stream<ConfigurationError> check(Draft draft) {
        return draft.sections()
                .filter(s -> SectionKind.of(s.getKind()).isEmpty())
                .map(s -> Draft.error(s, "", "unknown-kind", "one of the kinds " + KINDS));
    }
}
