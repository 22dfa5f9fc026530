package org.ragwortrun.core.config.rule;

import java.util.Arrays;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.ragwortrun.core.config.ConfigurationError;
import org.ragwortrun.core.config.ConfigurationRule;
import org.ragwortrun.core.config.Draft;
import org.ragwortrun.core.config.SectionKind;
import org.ragwortrun.proto.Section;

/** Checks that the addresses of agents and endpoints are numeric IP addresses with a port. */
public final class AddressFormRule implements ConfigurationRule {
    private static final Pattern ADDRESS =
            Pattern.compile("(?:((?:\\d{1,3}\\.){3}\\d{1,3})|\\[[0-9a-fA-F:]+]):(\\d{1,5})");
    private static final Pattern URL = Pattern.compile("http://([^/?#]+)(/[^?#]*)?");
    private static final int MAX_PORT = 65_535;
    private static final int MAX_BYTE = 255;

    @Override
    public Stream<ConfigurationError> check(Draft draft) {
        return draft.sections(SectionKind.ENDPOINT).flatMap(s -> Stream.concat(agent(s), url(s)));
    }

    private static Stream<ConfigurationError> agent(Section s) {
        String value = s.getPropertiesOrDefault("agent", "");
        return value.isBlank() || isAddress(value)
                ? Stream.empty()
                : Stream.of(Draft.error(s, "agent", "address-form", "an IP address and port such as 10.0.1.7:7100"));
    }

    private static Stream<ConfigurationError> url(Section s) {
        String value = s.getPropertiesOrDefault("url", "");
        Matcher m = URL.matcher(value);
        return value.isBlank() || (m.matches() && isAddress(m.group(1)))
                ? Stream.empty()
                : Stream.of(Draft.error(
                        s, "url", "address-form", "a URL with an IP address and port such as http://10.0.1.7:8000"));
    }

    private static boolean isAddress(String text) {
        Matcher m = ADDRESS.matcher(text);
        if (!m.matches()) {
            return false;
        }
        int port = Integer.parseInt(m.group(2));
        String host = m.group(1);
        return port > 0
                && port <= MAX_PORT
                && (host == null || Arrays.stream(host.split("\\.")).allMatch(b -> Integer.parseInt(b) <= MAX_BYTE));
    }
}
