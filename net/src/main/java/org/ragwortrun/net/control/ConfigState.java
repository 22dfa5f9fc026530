package org.ragwortrun.net.control;

import com.google.protobuf.ByteString;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.ragwortrun.core.config.Configuration;
import org.ragwortrun.core.config.ConfigurationException;
import org.ragwortrun.core.config.SectionKind;
import org.ragwortrun.proto.ConfigUpdate;
import org.ragwortrun.proto.CrashReport;
import org.ragwortrun.proto.MoveProgress;
import org.ragwortrun.proto.Section;
import org.ragwortrun.proto.SectionId;
import org.ragwortrun.proto.VersionDecision;

/**
 * A configuration with the parts from which later updates are computed. Immutable.
 *
 * @param current the configuration, null before the first update
 * @param crashTimes wall-clock time of the latest crash for each refused content digest, in milliseconds
 * @param quarantinedParts reports on quarantined parts of prompts, by the digest of the part
 */
record ConfigState(
        @Nullable Configuration current,
        Map<SectionId, Section> sections,
        Map<String, MoveProgress> moves,
        Map<String, VersionDecision> decisions,
        Map<ByteString, Long> crashTimes,
        Map<ByteString, CrashReport> quarantinedParts) {

    static final ConfigState NONE = new ConfigState(null, Map.of(), Map.of(), Map.of(), Map.of(), Map.of());

    /** Returns the number of the configuration, 0 if there is none. */
    long number() {
        return configuration().map(Configuration::number).orElse(0L);
    }

    Optional<Configuration> configuration() {
        return Optional.ofNullable(current);
    }

    /**
     * Returns the state after an update whose base is 0 or the number of this state.
     *
     * @throws ConfigurationException if a section cannot be read
     */
    ConfigState with(ConfigUpdate update) throws ConfigurationException {
        ConfigState before = update.getBase() == 0 ? NONE : this;
        Map<SectionId, Section> nextSections = new LinkedHashMap<>(before.sections);
        Map<String, MoveProgress> nextMoves = new LinkedHashMap<>(before.moves);
        update.getRemovedList().forEach(r -> {
            nextSections.remove(r);
            removeProgress(nextMoves, r);
        });
        update.getChangedList().forEach(s -> {
            nextSections.put(id(s), s);
            removeProgress(nextMoves, id(s));
        });
        update.getMovesList().forEach(m -> nextMoves.put(m.getMove(), m));
        Map<String, VersionDecision> nextDecisions = new LinkedHashMap<>(before.decisions);
        update.getDecisionsList().forEach(d -> nextDecisions.put(d.getService() + "/" + d.getVersion(), d));
        Configuration next = Configuration.of(
                update.getNumber(),
                nextSections.values(),
                nextMoves.values(),
                nextDecisions.values(),
                update.getOrderedMovesList(),
                update.getEvacuationsList());
        return new ConfigState(
                next,
                nextSections,
                nextMoves,
                nextDecisions,
                crashTimes(before.crashTimes, update),
                quarantinedParts(before.quarantinedParts, update));
    }

    private static Map<ByteString, Long> crashTimes(Map<ByteString, Long> before, ConfigUpdate update) {
        Map<ByteString, Long> next = new HashMap<>(before);
        update.getSuspectsList().stream()
                .filter(s -> !s.getPart() && s.getRefused())
                .forEach(s -> next.put(s.getDigest(), s.getLastCrashMs()));
        return Map.copyOf(next);
    }

    private static Map<ByteString, CrashReport> quarantinedParts(
            Map<ByteString, CrashReport> before, ConfigUpdate update) {
        Map<ByteString, CrashReport> next = new HashMap<>(before);
        update.getSuspectsList().stream().filter(CrashReport::getPart).forEach(r -> {
            if (r.getRefused()) {
                next.put(r.getDigest(), r);
            } else {
                next.remove(r.getDigest());
            }
        });
        return Map.copyOf(next);
    }

    /** Drops the progress of a move that was changed or removed; the update contains its current progress. */
    private static void removeProgress(Map<String, MoveProgress> moves, SectionId section) {
        if (section.getKind().equals(SectionKind.MOVE.text())) {
            moves.remove(section.getName());
        }
    }

    private static SectionId id(Section s) {
        return SectionId.newBuilder().setKind(s.getKind()).setName(s.getName()).build();
    }
}
