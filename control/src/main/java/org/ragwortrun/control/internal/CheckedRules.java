package org.ragwortrun.control.internal;

import java.util.Collection;
import java.util.List;
import org.ragwortrun.core.config.ConfigurationChecker;
import org.ragwortrun.core.config.ConfigurationError;
import org.ragwortrun.ledger.ConfigurationRules;
import org.ragwortrun.proto.ConfigError;
import org.ragwortrun.proto.Section;

/** Applies the configuration checker to publishes, at the time of their log entry. */
final class CheckedRules implements ConfigurationRules {
    private final ConfigurationChecker checker = ConfigurationChecker.standard();

    @Override
    public List<ConfigError> check(Collection<Section> previous, Collection<Section> next, long nowMs) {
        return checker.check(next, previous, nowMs).stream()
                .map(CheckedRules::wire)
                .toList();
    }

    private static ConfigError wire(ConfigurationError e) {
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
