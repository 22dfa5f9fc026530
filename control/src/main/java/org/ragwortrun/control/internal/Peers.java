package org.ragwortrun.control.internal;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.ragwortrun.core.time.Time;
import org.ragwortrun.net.Peer;
import org.ragwortrun.proto.Hello;
import org.ragwortrun.proto.Role;

/** The daemons that are connected to this member, and when each incarnation was last heard of. */
public final class Peers {
    // Incarnations that are remembered after their connection ended; beyond it the table is swept.
    private static final int MAX_ABSENT = 10_000;

    private final Time time;
    private final Map<String, Peer> open = new ConcurrentHashMap<>();
    private final Map<String, Long> lastSeenNanos = new ConcurrentHashMap<>();

    public Peers(Time time) {
        this.time = time;
    }

    /** Notes a connection. A later connection of the same incarnation replaces an earlier one. */
    public void connected(Peer peer) {
        if (peer.hello().getIncarnation().isEmpty()) {
            return;
        }
        open.put(peer.hello().getIncarnation(), peer);
        heard(peer);
    }

    /** Notes a sign of life. */
    public void heard(Peer peer) {
        String incarnation = peer.hello().getIncarnation();
        if (!incarnation.isEmpty()) {
            lastSeenNanos.put(incarnation, time.nanos());
        }
    }

    /** Notes the end of a connection. Its daemon counts as heard until now, even if it had nothing to ask. */
    public void closed(Peer peer) {
        if (open.remove(peer.hello().getIncarnation(), peer)) {
            heard(peer);
        }
        if (lastSeenNanos.size() > MAX_ABSENT) {
            lastSeenNanos.keySet().retainAll(open.keySet());
        }
    }

    public Optional<Peer> byIncarnation(String incarnation) {
        return Optional.ofNullable(open.get(incarnation)).filter(Peer::isOpen);
    }

    /** Returns the connections of daemons that have this role and name. */
    public List<Peer> byName(Role role, String name) {
        return open.values().stream()
                .filter(Peer::isOpen)
                .filter(p -> is(p.hello(), role) && p.hello().getName().equals(name))
                .toList();
    }

    /** Returns the connections of daemons that have this role. */
    public List<Peer> byRole(Role role) {
        return open.values().stream()
                .filter(Peer::isOpen)
                .filter(p -> is(p.hello(), role))
                .toList();
    }

    /** Returns when the incarnation was last heard of, or the fallback if this member has not heard of it. */
    public long lastSeenNanos(String incarnation, long fallback) {
        return lastSeenNanos.getOrDefault(incarnation, fallback);
    }

    private static boolean is(Hello hello, Role role) {
        return hello.getRole() == role;
    }
}
