package org.ragwortrun.core.config.rule;

import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.ragwortrun.core.config.ConfigurationError;
import org.ragwortrun.core.config.ConfigurationRule;
import org.ragwortrun.core.config.Draft;
import org.ragwortrun.core.config.SectionKind;
import org.ragwortrun.proto.Section;

/** Checks the form of section names, which are used in budget names, addresses and logs. */
public final class NameFormRule implements ConfigurationRule {
    private static final String PART = "[A-Za-z0-9][A-Za-z0-9._-]{0,99}";
    private static final Pattern NAME = Pattern.compile(PART);
    private static final Pattern BUDGET = Pattern.compile(PART + "(/" + PART + ")?");

    @Override
    public Stream<ConfigurationError> check(Draft draft) {
        return draft.sections().filter(s -> !isValid(s)).map(s -> Draft.error(s, "", "name-form", expected(s)));
    }

    private static boolean isValid(Section s) {
        Pattern form = isBudget(s) ? BUDGET : NAME;
        return form.matcher(s.getName()).matches();
    }

    private static String expected(Section s) {
        String part = "at most 100 letters, digits, dots, hyphens and underscores";
        return isBudget(s) ? "a name of the form ACCOUNT/SERVICE or ACCOUNT, each of " + part : "a name of " + part;
    }

    private static boolean isBudget(Section s) {
        return s.getKind().equals(SectionKind.BUDGET.text());
    }
}
