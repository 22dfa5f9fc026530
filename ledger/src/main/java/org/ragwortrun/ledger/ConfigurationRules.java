package org.ragwortrun.ledger;

import java.util.Collection;
import java.util.List;
import org.ragwortrun.proto.ConfigError;
import org.ragwortrun.proto.Section;

/** Rules that a new configuration must keep. The result must depend on the arguments only. */
@FunctionalInterface
public interface ConfigurationRules {
    /**
     * Returns every broken rule, or nothing if the configuration is valid.
     *
     * @param previous sections in force
     * @param next sections to be published
     * @param nowMs time of the log entry in milliseconds since 1970
     */
    List<ConfigError> check(Collection<Section> previous, Collection<Section> next, long nowMs);
}
