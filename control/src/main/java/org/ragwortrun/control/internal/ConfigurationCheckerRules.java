package org.ragwortrun.control.internal;

import java.util.Collection;
import java.util.List;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.ragwortrun.core.config.ConfigurationChecker;
import org.ragwortrun.core.config.ConfigurationError;
import org.ragwortrun.core.log.Event;
import org.ragwortrun.ledger.ConfigurationRules;
import org.ragwortrun.proto.ConfigError;
import org.ragwortrun.proto.Section;

/** Applies the configuration checker to published configurations, using the time of their log entry. */
final class ConfigurationCheckerRules implements ConfigurationRules {
    private static final Logger LOG = LogManager.getLogger(ConfigurationCheckerRules.class);

    private final ConfigurationChecker checker = ConfigurationChecker.standard();

    @Override
    @SuppressWarnings("PMD.AvoidCatchingGenericException")
    public List<ConfigError> check(Collection<Section> previous, Collection<Section> next, long nowMs) {
        try {
            return checker.check(next, previous, nowMs).stream()
                    .map(ConfigurationCheckerRules::toProto)
                    .toList();
        } catch (RuntimeException e) {
            // An exception here would stop the group on every member, and again after each restart.
            Event.of("configuration-check-failed").error(LOG, e);
            return List.of(ConfigError.newBuilder()
                    .setRule("checker-failed")
                    .setExpected("files that the checker can read; please report this")
                    .build());
        }
    }

    private static ConfigError toProto(ConfigurationError e) {
        return ConfigError.newBuilder()
                .setFile(e.file())
                .setLine(e.line())
                .setSection(e.section())
                .setKey(e.key())
                .setRule(e.rule())
                .setExpected(e.expected())
                .build();
    }
}
