package org.ragwortrun.core.config.rule;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.ragwortrun.core.config.ConfigurationError;
import org.ragwortrun.core.config.ConfigurationRule;
import org.ragwortrun.core.config.Draft;
import org.ragwortrun.core.config.SectionKind;
import org.ragwortrun.proto.Section;

/** Checks that the moves of a service do not overlap in time. */
public final class OverlappingMovesRule implements ConfigurationRule {
    @Override
    public Stream<ConfigurationError> check(Draft draft) {
        List<Section> moves = draft.sections(SectionKind.MOVE).toList();
        List<ConfigurationError> errors = new ArrayList<>();
        for (int i = 1; i < moves.size(); i++) {
            Section move = moves.get(i);
            moves.subList(0, i).stream()
                    .filter(m -> overlap(m, move))
                    .findFirst()
                    .ifPresent(m -> errors.add(error(move, m)));
        }
        return errors.stream();
    }

    private static ConfigurationError error(Section move, Section other) {
        return Draft.error(
                move,
                "start",
                "overlapping-moves",
                "a time outside of move " + other.getName() + " of the same service, or that move removed");
    }

    private static boolean overlap(Section a, Section b) {
        boolean sameService = a.getPropertiesOrDefault("service", "").equals(b.getPropertiesOrDefault("service", ""));
        return sameService && isBefore(Moves.start(a), Moves.finish(b)) && isBefore(Moves.start(b), Moves.finish(a));
    }

    private static boolean isBefore(Optional<Instant> start, Optional<Instant> finish) {
        return start.isPresent() && finish.isPresent() && start.get().isBefore(finish.get());
    }
}
