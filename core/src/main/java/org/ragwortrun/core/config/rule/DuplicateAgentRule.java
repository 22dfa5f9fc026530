package org.ragwortrun.core.config.rule;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.ragwortrun.core.config.ConfigurationError;
import org.ragwortrun.core.config.ConfigurationRule;
import org.ragwortrun.core.config.Draft;
import org.ragwortrun.core.config.SectionKind;

/** Checks that no two endpoints share an agent. */
public final class DuplicateAgentRule implements ConfigurationRule {
    @Override
    public Stream<ConfigurationError> check(Draft draft) {
        Map<String, String> first = new HashMap<>();
        List<ConfigurationError> errors = new ArrayList<>();
        draft.sections(SectionKind.ENDPOINT).forEach(s -> {
            String agent = s.getPropertiesOrDefault("agent", "");
            String other = agent.isBlank() ? null : first.putIfAbsent(agent, s.getName());
            if (other != null && !other.equals(s.getName())) {
                errors.add(Draft.error(
                        s, "agent", "duplicate-agent", "an address that endpoint " + other + " does not have"));
            }
        });
        return errors.stream();
    }
}
