package org.ragwortrun.core.config.rule;

import java.math.BigInteger;
import java.util.stream.Stream;
import org.ragwortrun.core.config.ConfigurationError;
import org.ragwortrun.core.config.ConfigurationRule;
import org.ragwortrun.core.config.Draft;
import org.ragwortrun.core.config.SectionKind;
import org.ragwortrun.proto.Section;

/** Checks that the sum of the top-ups of a budget fits into a long. */
public final class TopUpSumRule implements ConfigurationRule {
    private static final BigInteger MAX = BigInteger.valueOf(Long.MAX_VALUE);

    @Override
    public Stream<ConfigurationError> check(Draft draft) {
        return draft.sections(SectionKind.BUDGET)
                .filter(s -> sum(s).compareTo(MAX) > 0)
                .map(s -> Draft.error(s, "", "top-up-sum", "top-ups that add up to at most " + MAX));
    }

    private static BigInteger sum(Section s) {
        return s.getPropertiesMap().values().stream()
                .map(v -> v.replace("_", ""))
                .filter(v -> v.matches("\\d{1,19}"))
                .map(BigInteger::new)
                .reduce(BigInteger.ZERO, BigInteger::add);
    }
}
