package org.ragwortrun.control.internal;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.ragwortrun.core.time.Time;
import org.ragwortrun.net.Peer;
import org.ragwortrun.proto.Hello;
import org.ragwortrun.proto.Role;

/** The daemons connected to this member, and when each incarnation was last seen. */
public final class Peers {
    // Above this number of incarnations, those without a connection are removed from the table.
    private static final int MAX_TRACKED_INCARNATIONS = 10_000;

    private final Time time;
    private final Map<String, Peer> open = new ConcurrentHashMap<>();
    private final Map<String, Long> lastSeenNanos = new ConcurrentHashMap<>();

    public Peers(Time time) {
        this.time = time;
    }

    /** Adds a connection. A later connection of the same incarnation replaces an earlier one. */
    public void onConnected(Peer peer) {
        if (peer.hello().getIncarnation().isEmpty()) {
            return;
        }
        open.put(peer.hello().getIncarnation(), peer);
        markSeen(peer);
    }

    /** Records that the peer was seen now. */
    public void markSeen(Peer peer) {
        String incarnation = peer.hello().getIncarnation();
        if (!incarnation.isEmpty()) {
            lastSeenNanos.put(incarnation, time.nanos());
        }
    }

    /** Removes a closed connection. Its daemon counts as seen now, even if it was idle. */
    public void onClosed(Peer peer) {
        if (open.remove(peer.hello().getIncarnation(), peer)) {
            markSeen(peer);
        }
        if (lastSeenNanos.size() > MAX_TRACKED_INCARNATIONS) {
            lastSeenNanos.keySet().retainAll(open.keySet());
        }
    }

    public Optional<Peer> byIncarnation(String incarnation) {
        return Optional.ofNullable(open.get(incarnation)).filter(Peer::isOpen);
    }

    /** Returns the connections of daemons with this role and name. */
    public List<Peer> byName(Role role, String name) {
        return open.values().stream()
                .filter(Peer::isOpen)
                .filter(p -> hasRole(p.hello(), role) && p.hello().getName().equals(name))
                .toList();
    }

    /** Returns all open connections. */
    public List<Peer> all() {
        return open.values().stream().filter(Peer::isOpen).toList();
    }

    /** Returns the connections of daemons with this role. */
    public List<Peer> byRole(Role role) {
        return open.values().stream()
                .filter(Peer::isOpen)
                .filter(p -> hasRole(p.hello(), role))
                .toList();
    }

    /** Returns when the incarnation was last seen, or the fallback if this member has not seen it. */
    public long lastSeenNanos(String incarnation, long fallback) {
        return lastSeenNanos.getOrDefault(incarnation, fallback);
    }

    private static boolean hasRole(Hello hello, Role role) {
        return hello.getRole() == role;
    }
}
