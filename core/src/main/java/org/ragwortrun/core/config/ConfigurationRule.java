package org.ragwortrun.core.config;

import java.util.stream.Stream;

/** A rule that a configuration must satisfy. */
public interface ConfigurationRule {
    /** Returns an error for each violation. */
    Stream<ConfigurationError> check(Draft draft);
}
