package org.ragwortrun.core.config;

import java.util.stream.Stream;

/** One rule that a configuration must keep. */
public interface ConfigurationRule {
    /** Returns an error for each breach. */
    Stream<ConfigurationError> check(Draft draft);
}
