package org.ragwortrun.control.internal;

import java.util.List;
import org.ragwortrun.proto.CrashReport;
import org.ragwortrun.proto.MoveProgress;
import org.ragwortrun.proto.Section;
import org.ragwortrun.proto.VersionDecision;

/**
 * State of the meta group after some entry. Immutable.
 *
 * @param number number of the accepted configuration, 0 before the first
 * @param sections its sections
 * @param moves progress of its moves
 * @param decisions verdicts on versions
 * @param suspects requests during which endpoints crashed
 */
public record MetaSnapshot(
        long number,
        List<Section> sections,
        List<MoveProgress> moves,
        List<VersionDecision> decisions,
        List<CrashReport> suspects) {
    /** State before the first publish. */
    public static final MetaSnapshot EMPTY = new MetaSnapshot(0, List.of(), List.of(), List.of(), List.of());
}
