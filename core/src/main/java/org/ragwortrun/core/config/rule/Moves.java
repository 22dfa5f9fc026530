package org.ragwortrun.core.config.rule;

import java.time.DateTimeException;
import java.time.Instant;
import java.util.Optional;
import org.ragwortrun.core.config.Draft;
import org.ragwortrun.proto.Section;

/** Reads the times of moves. A time that is missing or cannot be read is reported by another rule. */
final class Moves {
    private Moves() {}

    static Optional<Instant> start(Section move) {
        return time(move, "start");
    }

    static Optional<Instant> finish(Section move) {
        return time(move, "finish");
    }

    /** Tells whether the move was accepted earlier in this form and its time is over. */
    static boolean isPast(Draft draft, Section move) {
        Instant now = Instant.ofEpochMilli(draft.wallMillis());
        return draft.isUnchanged(move)
                && finish(move).filter(f -> !f.isAfter(now)).isPresent();
    }

    private static Optional<Instant> time(Section move, String key) {
        try {
            return Optional.of(Instant.parse(move.getPropertiesOrDefault(key, "")));
        } catch (DateTimeException e) {
            return Optional.empty();
        }
    }
}
