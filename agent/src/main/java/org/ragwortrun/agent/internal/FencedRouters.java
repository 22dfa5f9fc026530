package org.ragwortrun.agent.internal;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.ragwortrun.net.Peer;

/** Router incarnations whose dispatches are refused for ever, and the confirmations that are still owed. */
final class FencedRouters {
    /** Where a confirmation goes. */
    record Asker(Peer peer, long call) {}

    private final Set<String> fenced = new HashSet<>();
    private final Map<String, Asker> owed = new LinkedHashMap<>();

    void fence(String incarnation, Asker asker) {
        fenced.add(incarnation);
        owed.put(incarnation, asker);
    }

    boolean isFenced(String incarnation) {
        return fenced.contains(incarnation);
    }

    /** Returns the incarnations that are not confirmed yet. */
    Map<String, Asker> owed() {
        return new LinkedHashMap<>(owed);
    }

    void confirmed(String incarnation) {
        owed.remove(incarnation);
    }
}
