package org.ragwortrun.control.internal;

import java.util.List;
import org.ragwortrun.proto.MoveProgress;
import org.ragwortrun.proto.OrderedMove;
import org.ragwortrun.proto.Section;
import org.ragwortrun.proto.VersionDecision;

/**
 * State of the meta group at a number. Each change of it raises the number. Immutable.
 *
 * @param number number of the configuration, 0 before the first publish
 * @param sections its sections
 * @param moves progress of its moves
 * @param decisions verdicts on versions
 * @param orderedMoves moves that operators have ordered for origins
 */
public record MetaSnapshot(
        long number,
        List<Section> sections,
        List<MoveProgress> moves,
        List<VersionDecision> decisions,
        List<OrderedMove> orderedMoves) {
    /** State before the first publish. */
    public static final MetaSnapshot EMPTY = new MetaSnapshot(0, List.of(), List.of(), List.of(), List.of());
}
