package org.ragwortrun.control.internal;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.ragwortrun.proto.ConfigUpdate;
import org.ragwortrun.proto.Section;
import org.ragwortrun.proto.SectionId;

/** Builds configuration updates, as a change where the receiver's number is remembered. Used by one thread. */
public final class ConfigHistory {
    // A daemon that missed more changes than these gets the full configuration.
    private static final int REMEMBERED = 8;

    private final TreeMap<Long, Map<SectionId, Section>> byNumber = new TreeMap<>();

    /** Remembers the sections of a snapshot. */
    public void remember(MetaSnapshot snapshot) {
        if (byNumber.containsKey(snapshot.number())) {
            return;
        }
        byNumber.put(snapshot.number(), index(snapshot.sections()));
        while (byNumber.size() > REMEMBERED) {
            byNumber.pollFirstEntry();
        }
    }

    /** Returns the update that brings a receiver from the number it has, 0 for none, to the snapshot. */
    public ConfigUpdate update(long have, MetaSnapshot snapshot) {
        ConfigUpdate.Builder update = ConfigUpdate.newBuilder()
                .setNumber(snapshot.number())
                .addAllMoves(snapshot.moves())
                .addAllDecisions(snapshot.decisions())
                .addAllSuspects(snapshot.suspects());
        Map<SectionId, Section> before = have > 0 && have <= snapshot.number() ? byNumber.get(have) : null;
        if (before == null) {
            return update.addAllChanged(snapshot.sections()).build();
        }
        update.setBase(have);
        if (have < snapshot.number()) {
            addChange(update, before, snapshot.sections());
        }
        return update.build();
    }

    private static void addChange(ConfigUpdate.Builder update, Map<SectionId, Section> before, List<Section> after) {
        Set<SectionId> removed = new LinkedHashSet<>(before.keySet());
        Map<SectionId, Section> now = index(after);
        removed.removeAll(now.keySet());
        update.addAllRemoved(removed);
        now.forEach((id, section) -> {
            if (!section.equals(before.get(id))) {
                update.addChanged(section);
            }
        });
    }

    private static Map<SectionId, Section> index(List<Section> sections) {
        Map<SectionId, Section> byId = new LinkedHashMap<>();
        sections.forEach(s -> byId.put(
                SectionId.newBuilder().setKind(s.getKind()).setName(s.getName()).build(), s));
        return byId;
    }
}
