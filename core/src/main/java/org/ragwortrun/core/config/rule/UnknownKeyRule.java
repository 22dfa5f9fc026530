package org.ragwortrun.core.config.rule;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.ragwortrun.core.config.ConfigurationError;
import org.ragwortrun.core.config.ConfigurationRule;
import org.ragwortrun.core.config.Draft;
import org.ragwortrun.core.config.SectionKind;
import org.ragwortrun.proto.Section;

/** Checks that every key is known for the kind of its section. */
public final class UnknownKeyRule implements ConfigurationRule {
    private static final String TOP_UP = "topup.";
    private static final Map<SectionKind, List<String>> KEYS = Map.of(
            SectionKind.ACCOUNT, List.of("keys", "priority", "metered", "regions"),
            SectionKind.BUDGET, List.of("prepaid"),
            SectionKind.SERVICE, List.of("kind", "model", "version"),
            SectionKind.ROUTE, List.of("service", "path", "repeatable", "price", "max-output", "priority", "deadline"),
            SectionKind.ENDPOINT,
                    List.of(
                            "service",
                            "version",
                            "agent",
                            "url",
                            "data-center",
                            "slots",
                            "kv-capacity",
                            "checks-fencing",
                            "dedupe-header"),
            SectionKind.MOVE, List.of("service", "from", "to", "share", "trial-share", "start", "finish"),
            SectionKind.ORIGIN,
                    List.of(
                            "model",
                            "health",
                            "max-connections",
                            "slots",
                            "kv-capacity",
                            "tokens-per-event",
                            "warm-up",
                            "warm-up-rate"),
            SectionKind.FORWARD,
                    List.of(
                            "host",
                            "path",
                            "kind",
                            "resumable",
                            "timeout",
                            "goal",
                            "gap",
                            "priority",
                            "to",
                            "attempts",
                            "open",
                            "sticky",
                            "regions"),
            SectionKind.LIMITS, List.of("header-bytes", "body-bytes", "header-timeout", "idle-timeout"));

    @Override
    public Stream<ConfigurationError> check(Draft draft) {
        return draft.sections().flatMap(UnknownKeyRule::check);
    }

    private static Stream<ConfigurationError> check(Section s) {
        Optional<SectionKind> kind = SectionKind.of(s.getKind());
        if (kind.isEmpty()) {
            return Stream.empty();
        }
        return s.getPropertiesMap().keySet().stream()
                .filter(k -> !isKnown(kind.get(), k))
                .map(k -> Draft.error(s, k, "unknown-key", expected(kind.get())));
    }

    private static boolean isKnown(SectionKind kind, String key) {
        return KEYS.getOrDefault(kind, List.of()).contains(key)
                || (kind == SectionKind.BUDGET && key.startsWith(TOP_UP) && key.length() > TOP_UP.length());
    }

    private static String expected(SectionKind kind) {
        return kind == SectionKind.BUDGET
                ? "topup.ID or prepaid"
                : "one of the keys " + String.join(", ", KEYS.getOrDefault(kind, List.of()));
    }
}
