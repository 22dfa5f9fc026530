package org.ragwortrun.agent.internal;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.ragwortrun.net.Peer;

/** Router incarnations whose dispatches are refused permanently, and the fences that are not confirmed yet. */
final class FencedRouters {
    /** Receiver of a confirmation. The leaders of several shards may fence the same incarnation. */
    record Requester(Peer peer, long call) {}

    private final Set<String> fenced = new HashSet<>();
    private final Map<String, Set<Requester>> unconfirmed = new LinkedHashMap<>();

    void fence(String incarnation, Requester requester) {
        fenced.add(incarnation);
        unconfirmed.computeIfAbsent(incarnation, i -> new LinkedHashSet<>()).add(requester);
    }

    boolean isFenced(String incarnation) {
        return fenced.contains(incarnation);
    }

    /** Returns the incarnations that are not confirmed yet. */
    List<String> unconfirmed() {
        return List.copyOf(unconfirmed.keySet());
    }

    /** Marks an incarnation as confirmed and returns all requesters. */
    Set<Requester> confirm(String incarnation) {
        Set<Requester> requesters = unconfirmed.remove(incarnation);
        return requesters == null ? Set.of() : requesters;
    }
}
