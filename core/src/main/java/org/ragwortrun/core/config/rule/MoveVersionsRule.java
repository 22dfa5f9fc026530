package org.ragwortrun.core.config.rule;

import java.util.stream.Stream;
import org.ragwortrun.core.config.ConfigurationError;
import org.ragwortrun.core.config.ConfigurationRule;
import org.ragwortrun.core.config.Draft;
import org.ragwortrun.core.config.SectionKind;
import org.ragwortrun.proto.Section;

/** Checks that a move has different source and target versions. */
public final class MoveVersionsRule implements ConfigurationRule {
    @Override
    public Stream<ConfigurationError> check(Draft draft) {
        return draft.sections(SectionKind.MOVE)
                .filter(MoveVersionsRule::isSame)
                .map(s -> Draft.error(s, "to", "move-versions", "another version than in the key from"));
    }

    private static boolean isSame(Section s) {
        String from = s.getPropertiesOrDefault("from", "");
        return !from.isBlank() && from.equals(s.getPropertiesOrDefault("to", ""));
    }
}
