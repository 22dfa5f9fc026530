package org.ragwortrun.core.config;

import java.util.List;
import java.util.stream.Stream;

/** Checks that every value can be parsed, such as amounts, durations, times, percentages and choices. */
final class ReadableValueRule implements ConfigurationRule {
    @Override
    public Stream<ConfigurationError> check(Draft draft) {
        try {
            Configuration.of(0, draft.sections().toList(), List.of(), List.of());
            return Stream.empty();
        } catch (ConfigurationException e) {
            return e.errors().stream();
        }
    }
}
