package org.ragwortrun.ledger;

import java.util.Collection;
import java.util.List;
import org.ragwortrun.proto.ConfigError;
import org.ragwortrun.proto.Section;

/** Validation rules for a new configuration. The result must depend only on the arguments. */
@FunctionalInterface
public interface ConfigurationRules {
    /**
     * Returns an error for each violated rule, or an empty list if the configuration is valid.
     *
     * @param previous sections in force
     * @param next sections to be published
     * @param nowMs time of the log entry in milliseconds since 1970
     */
    List<ConfigError> check(Collection<Section> previous, Collection<Section> next, long nowMs);
}
