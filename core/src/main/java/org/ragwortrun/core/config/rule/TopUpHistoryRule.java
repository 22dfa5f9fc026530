package org.ragwortrun.core.config.rule;

import java.util.HashMap;
import java.util.Map;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;
import org.ragwortrun.core.config.ConfigurationError;
import org.ragwortrun.core.config.ConfigurationRule;
import org.ragwortrun.core.config.Draft;
import org.ragwortrun.core.config.SectionKind;
import org.ragwortrun.proto.Section;

/** Checks that no accepted top-up is changed or removed, because its tokens may already be spent. */
public final class TopUpHistoryRule implements ConfigurationRule {
    @Override
    public Stream<ConfigurationError> check(Draft draft) {
        Map<String, Section> now = new HashMap<>();
        draft.sections(SectionKind.BUDGET).forEach(s -> now.put(s.getName(), s));
        return draft.previous(SectionKind.BUDGET).flatMap(before -> check(before, now.get(before.getName())));
    }

    private static Stream<ConfigurationError> check(Section before, @Nullable Section now) {
        if (now == null) {
            return topUps(before).findAny().isEmpty()
                    ? Stream.empty()
                    : Stream.of(Draft.error(before, "", "top-up-removed", "the section, whose top-ups were accepted"));
        }
        return topUps(before)
                .filter(e -> !amount(e.getValue()).equals(amount(now.getPropertiesOrDefault(e.getKey(), ""))))
                .map(e -> error(now, e.getKey(), e.getValue()));
    }

    /** Returns the top-ups of a section. A total is not a top-up and may change. */
    private static Stream<Map.Entry<String, String>> topUps(Section s) {
        return s.getPropertiesMap().entrySet().stream().filter(e -> e.getKey().startsWith("topup."));
    }

    private static ConfigurationError error(Section now, String key, String amount) {
        String rule = now.containsProperties(key) ? "top-up-changed" : "top-up-removed";
        return Draft.error(now, key, rule, "the accepted amount " + amount + "; add another top-up instead");
    }

    private static String amount(String text) {
        return text.replace("_", "");
    }
}
