package org.ragwortrun.agent.internal;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.ragwortrun.net.Peer;

/** Outlets of all answers by connection and call. */
final class Readers {
    private final Map<Peer, Map<Long, Outlet>> byPeer = new HashMap<>();

    Outlet open(Peer peer, long call, RunningRequest r, long offset, long credit) {
        Outlet outlet = new Outlet(peer, call, r, offset, credit);
        byPeer.computeIfAbsent(peer, p -> new HashMap<>()).put(call, outlet);
        r.outlets().add(outlet);
        return outlet;
    }

    @Nullable
    Outlet find(Peer peer, long call) {
        return byPeer.getOrDefault(peer, Map.of()).get(call);
    }

    void close(Outlet outlet) {
        outlet.close();
        outlet.request().outlets().remove(outlet);
        Map<Long, Outlet> calls = byPeer.get(outlet.peer());
        if (calls != null) {
            calls.remove(outlet.call());
            if (calls.isEmpty()) {
                byPeer.remove(outlet.peer());
            }
        }
    }

    /** Returns the outlets of a connection. */
    Collection<Outlet> of(Peer peer) {
        return List.copyOf(byPeer.getOrDefault(peer, Map.of()).values());
    }

    int size() {
        return byPeer.values().stream().mapToInt(Map::size).sum();
    }
}
