package org.ragwortrun.core.config;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.ragwortrun.core.config.rule.AddressFormRule;
import org.ragwortrun.core.config.rule.ApiKeyFormRule;
import org.ragwortrun.core.config.rule.DuplicateAgentRule;
import org.ragwortrun.core.config.rule.DuplicateApiKeyRule;
import org.ragwortrun.core.config.rule.DuplicateForwardRule;
import org.ragwortrun.core.config.rule.DuplicateKeyRule;
import org.ragwortrun.core.config.rule.DuplicateModelRule;
import org.ragwortrun.core.config.rule.DuplicateNameRule;
import org.ragwortrun.core.config.rule.DuplicatePathRule;
import org.ragwortrun.core.config.rule.MissingReferenceRule;
import org.ragwortrun.core.config.rule.MoveTimeRule;
import org.ragwortrun.core.config.rule.MoveVersionsRule;
import org.ragwortrun.core.config.rule.NameFormRule;
import org.ragwortrun.core.config.rule.OverlappingMovesRule;
import org.ragwortrun.core.config.rule.PathFormRule;
import org.ragwortrun.core.config.rule.ServiceModelRule;
import org.ragwortrun.core.config.rule.TopUpHistoryRule;
import org.ragwortrun.core.config.rule.TopUpSumRule;
import org.ragwortrun.core.config.rule.UnknownKeyRule;
import org.ragwortrun.core.config.rule.UnknownKindRule;
import org.ragwortrun.core.config.rule.VersionEndpointRule;
import org.ragwortrun.proto.Section;

/** Checks a configuration before it is published and reports every error at once. Changes nothing. */
public final class ConfigurationChecker {
    private static final Comparator<ConfigurationError> ORDER = Comparator.comparing(ConfigurationError::file)
            .thenComparingInt(ConfigurationError::line)
            .thenComparing(ConfigurationError::key)
            .thenComparing(ConfigurationError::rule);

    private final List<ConfigurationRule> rules;

    public ConfigurationChecker(List<ConfigurationRule> rules) {
        this.rules = List.copyOf(rules);
    }

    /** Returns the checker with all rules. */
    public static ConfigurationChecker standard() {
        return new ConfigurationChecker(List.of(
                new UnknownKindRule(),
                new UnknownKeyRule(),
                new NameFormRule(),
                new DuplicateNameRule(),
                new DuplicateKeyRule(),
                new ReadableValueRule(),
                new TopUpSumRule(),
                new TopUpHistoryRule(),
                new MissingReferenceRule(),
                new ServiceModelRule(),
                new DuplicateModelRule(),
                new PathFormRule(),
                new DuplicatePathRule(),
                new DuplicateForwardRule(),
                new ApiKeyFormRule(),
                new DuplicateApiKeyRule(),
                new AddressFormRule(),
                new DuplicateAgentRule(),
                new VersionEndpointRule(),
                new MoveVersionsRule(),
                new MoveTimeRule(),
                new OverlappingMovesRule()));
    }

    /**
     * Checks files.
     *
     * @param previous sections of the configuration in force, empty if there is none
     * @param wallMillis wall-clock time
     */
    public List<ConfigurationError> check(OperatorFiles files, Collection<Section> previous, long wallMillis) {
        List<ConfigurationError> errors = new ArrayList<>(files.errors());
        errors.addAll(run(files.sources(), previous, wallMillis));
        errors.sort(ORDER);
        return errors;
    }

    /** Checks sections without their files. Errors refer to the lines of section headers. */
    public List<ConfigurationError> check(Collection<Section> sections, Collection<Section> previous, long wallMillis) {
        List<SourceSection> sources =
                sections.stream().map(s -> new SourceSection(s, List.of())).toList();
        List<ConfigurationError> errors = new ArrayList<>(run(sources, previous, wallMillis));
        errors.sort(ORDER);
        return errors;
    }

    private List<ConfigurationError> run(List<SourceSection> sources, Collection<Section> previous, long wallMillis) {
        Draft draft = new Draft(sources, previous, wallMillis);
        Map<String, SourceSection> byHeader = new HashMap<>();
        sources.forEach(
                s -> byHeader.put(location(s.section().getFile(), s.section().getLine()), s));
        return rules.stream()
                .flatMap(r -> r.check(draft))
                .map(e -> atKey(e, byHeader.get(location(e.file(), e.line()))))
                .toList();
    }

    /** Moves an error from the header of its section to the line of its key. */
    private static ConfigurationError atKey(ConfigurationError e, @Nullable SourceSection source) {
        if (source == null || e.key().isEmpty()) {
            return e;
        }
        return new ConfigurationError(e.file(), source.line(e.key()), e.section(), e.key(), e.rule(), e.expected());
    }

    private static String location(String file, int line) {
        return file + ':' + line;
    }
}
