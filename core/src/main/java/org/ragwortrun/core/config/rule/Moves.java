package org.ragwortrun.core.config.rule;

import java.time.DateTimeException;
import java.time.Instant;
import java.util.Optional;
import org.ragwortrun.core.config.Draft;
import org.ragwortrun.proto.Section;

/** Reads the times of moves. Missing and invalid times are empty here; another rule reports them. */
final class Moves {
    private Moves() {}

    static Optional<Instant> start(Section move) {
        return time(move, "start");
    }

    static Optional<Instant> finish(Section move) {
        return time(move, "finish");
    }

    /** Returns whether the move was accepted earlier, is unchanged and has finished. */
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
