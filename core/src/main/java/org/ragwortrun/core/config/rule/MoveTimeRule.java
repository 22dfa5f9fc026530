package org.ragwortrun.core.config.rule;

import java.time.Instant;
import java.util.Optional;
import java.util.stream.Stream;
import org.ragwortrun.core.config.ConfigurationError;
import org.ragwortrun.core.config.ConfigurationRule;
import org.ragwortrun.core.config.Draft;
import org.ragwortrun.core.config.SectionKind;
import org.ragwortrun.proto.Section;

/** Checks that a move finishes after its start and, unless it was accepted earlier, in the future. */
public final class MoveTimeRule implements ConfigurationRule {
    private static final String FINISH = "finish";

    @Override
    public Stream<ConfigurationError> check(Draft draft) {
        return draft.sections(SectionKind.MOVE).flatMap(s -> check(draft, s));
    }

    private static Stream<ConfigurationError> check(Draft draft, Section move) {
        Optional<Instant> start = Moves.start(move);
        Optional<Instant> finish = Moves.finish(move);
        if (start.isEmpty() || finish.isEmpty()) {
            return Stream.empty();
        }
        if (!start.get().isBefore(finish.get())) {
            return Stream.of(Draft.error(move, FINISH, "no-time-left", "a time after the start"));
        }
        Instant now = Instant.ofEpochMilli(draft.wallMillis());
        return draft.isUnchanged(move) || finish.get().isAfter(now)
                ? Stream.empty()
                : Stream.of(Draft.error(move, FINISH, "no-time-left", "a time after now, " + now));
    }
}
