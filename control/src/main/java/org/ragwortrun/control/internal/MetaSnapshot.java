package org.ragwortrun.control.internal;

import java.util.List;
import org.ragwortrun.proto.Evacuation;
import org.ragwortrun.proto.MoveProgress;
import org.ragwortrun.proto.OrderedMove;
import org.ragwortrun.proto.Section;
import org.ragwortrun.proto.VersionDecision;

/**
 * Immutable state of the meta group at a configuration number. Each change increases the number.
 *
 * @param number number of the configuration, 0 before the first publish
 * @param sections sections of the configuration
 * @param moves progress of the moves
 * @param decisions decisions on versions
 * @param orderedMoves moves ordered by operators, by service
 * @param evacuations latest evacuation order of each data center
 */
public record MetaSnapshot(
        long number,
        List<Section> sections,
        List<MoveProgress> moves,
        List<VersionDecision> decisions,
        List<OrderedMove> orderedMoves,
        List<Evacuation> evacuations) {
    /** State before the first publish. */
    public static final MetaSnapshot EMPTY = new MetaSnapshot(0, List.of(), List.of(), List.of(), List.of(), List.of());
}
