package org.ragwortrun.core.config.rule;

import java.util.Arrays;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.ragwortrun.core.config.ConfigurationError;
import org.ragwortrun.core.config.ConfigurationRule;
import org.ragwortrun.core.config.Draft;
import org.ragwortrun.core.config.SectionKind;
import org.ragwortrun.proto.Section;

/** Checks that API keys are given as digests, so that no key is published in plain text. */
public final class ApiKeyFormRule implements ConfigurationRule {
    private static final Pattern DIGEST = Pattern.compile("[0-9a-f]{64}");

    @Override
    public Stream<ConfigurationError> check(Draft draft) {
        return draft.sections(SectionKind.ACCOUNT)
                .filter(s -> !keys(s).allMatch(k -> DIGEST.matcher(k).matches()))
                .map(s -> Draft.error(
                        s, "keys", "api-key-form", "SHA-256 digests of 64 lower-case hex digits, with commas between"));
    }

    /** Returns the digests of an account. */
    static Stream<String> keys(Section account) {
        return Arrays.stream(account.getPropertiesOrDefault("keys", "").split(","))
                .map(String::trim)
                .filter(k -> !k.isEmpty());
    }
}
