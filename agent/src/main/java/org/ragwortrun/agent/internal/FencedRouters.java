package org.ragwortrun.agent.internal;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.ragwortrun.net.Peer;

/** Router incarnations whose dispatches are refused for ever, and the confirmations that are still owed. */
final class FencedRouters {
    /** Where a confirmation goes: the leaders of several shards may ask for the same incarnation. */
    record Asker(Peer peer, long call) {}

    private final Set<String> fenced = new HashSet<>();
    private final Map<String, Set<Asker>> owed = new LinkedHashMap<>();

    void fence(String incarnation, Asker asker) {
        fenced.add(incarnation);
        owed.computeIfAbsent(incarnation, i -> new LinkedHashSet<>()).add(asker);
    }

    boolean isFenced(String incarnation) {
        return fenced.contains(incarnation);
    }

    /** Returns the incarnations that are not confirmed yet. */
    List<String> owed() {
        return List.copyOf(owed.keySet());
    }

    /** Notes that an incarnation is confirmed and returns all who asked. */
    Set<Asker> confirm(String incarnation) {
        Set<Asker> askers = owed.remove(incarnation);
        return askers == null ? Set.of() : askers;
    }
}
