package org.ragwortrun.core.config.rule;

import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.ragwortrun.core.config.ConfigurationError;
import org.ragwortrun.core.config.ConfigurationRule;
import org.ragwortrun.core.config.Draft;
import org.ragwortrun.core.config.SectionKind;
import org.ragwortrun.proto.Section;

/** Checks that every version that receives traffic, now or by a move, has an endpoint. */
public final class VersionEndpointRule implements ConfigurationRule {
    @Override
    public Stream<ConfigurationError> check(Draft draft) {
        Set<String> offered = draft.sections(SectionKind.ENDPOINT)
                .map(s -> versionKey(s.getPropertiesOrDefault("service", ""), s.getPropertiesOrDefault("version", "")))
                .collect(Collectors.toSet());
        Stream<ConfigurationError> services =
                draft.sections(SectionKind.SERVICE).flatMap(s -> missing(s, s.getName(), "version", offered));
        Stream<ConfigurationError> moves = draft.sections(SectionKind.MOVE)
                .filter(s -> !Moves.isPast(draft, s))
                .flatMap(s -> Stream.of("from", "to")
                        .flatMap(key -> missing(s, s.getPropertiesOrDefault("service", ""), key, offered)));
        return Stream.concat(services, moves);
    }

    private static Stream<ConfigurationError> missing(Section s, String service, String key, Set<String> offered) {
        String version = s.getPropertiesOrDefault(key, "");
        return version.isBlank() || offered.contains(versionKey(service, version))
                ? Stream.empty()
                : Stream.of(Draft.error(
                        s,
                        key,
                        "version-without-endpoint",
                        "an endpoint of service " + service + " with version " + version));
    }

    private static String versionKey(String service, String version) {
        return service + "/" + version;
    }
}
