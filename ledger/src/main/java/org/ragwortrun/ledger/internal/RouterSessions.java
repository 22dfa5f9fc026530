package org.ragwortrun.ledger.internal;

import java.io.IOException;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.stream.Stream;

/** Sessions of router incarnations, with the agents that must confirm a fence before the grants are released. */
public final class RouterSessions {
    private static final int MAX_CLOSED = 4_096;

    private final SortedMap<String, RouterSession> sessions = new TreeMap<>();

    public Optional<RouterSession> find(String incarnation) {
        return Optional.ofNullable(sessions.get(incarnation));
    }

    public Stream<RouterSession> all() {
        return sessions.values().stream();
    }

    /** Returns whether an incarnation may receive grants and claim requests. */
    public boolean isOpen(String incarnation) {
        RouterSession s = sessions.get(incarnation);
        return s != null && s.phase() == RouterSession.Phase.OPEN;
    }

    /** Returns whether an incarnation calls endpoints without agents. */
    public boolean isDirect(String incarnation) {
        RouterSession s = sessions.get(incarnation);
        return s != null && s.isDirect();
    }

    /**
     * Opens a session and returns the older incarnations of the same router that must be fenced. Returns empty if the
     * incarnation has been superseded or closed, because its session must not be opened again.
     */
    public Optional<List<String>> open(String router, String incarnation, boolean direct, long nowMs) {
        RouterSession known = sessions.get(incarnation);
        if (known != null && known.phase() != RouterSession.Phase.OPEN) {
            return Optional.empty();
        }
        if (known == null) {
            sessions.put(incarnation, new RouterSession(router, incarnation, direct, nowMs));
        }
        List<RouterSession> older = sessions.values().stream()
                .filter(s -> s.router().equals(router) && !s.incarnation().equals(incarnation))
                .filter(s -> s.phase() != RouterSession.Phase.CLOSED)
                .toList();
        older.forEach(s -> s.supersede(nowMs));
        return Optional.of(older.stream().map(RouterSession::incarnation).toList());
    }

    /** Starts closing a session and returns whether it is closed at once, so that its grants can be released. */
    public boolean close(String incarnation, boolean orderly, Collection<String> agents, long nowMs) {
        RouterSession s = sessions.computeIfAbsent(incarnation, i -> new RouterSession("", i, false, nowMs));
        if (s.phase() == RouterSession.Phase.CLOSED) {
            return false;
        }
        s.close(orderly ? List.of() : agents, nowMs);
        return closeIfConfirmed(s, nowMs);
    }

    /** Records an agent's confirmation and returns whether the session is now closed. */
    public boolean confirm(String incarnation, String agent, long nowMs) {
        RouterSession s = sessions.get(incarnation);
        if (s == null || s.phase() == RouterSession.Phase.OPEN || s.phase() == RouterSession.Phase.CLOSED) {
            return false;
        }
        s.confirm(agent);
        return s.phase() == RouterSession.Phase.CLOSING && closeIfConfirmed(s, nowMs);
    }

    private static boolean closeIfConfirmed(RouterSession s, long nowMs) {
        if (!s.awaitedAgents().isEmpty()) {
            return false;
        }
        s.markClosed(nowMs);
        return true;
    }

    /**
     * Evicts the oldest closed sessions beyond the last 4,096. Eviction is not based on age: a router process that resumes
     * after a long suspension must not reopen its closed session and supersede its successor.
     */
    public void evictClosed() {
        List<RouterSession> closed = sessions.values().stream()
                .filter(s -> s.phase() == RouterSession.Phase.CLOSED)
                .sorted(Comparator.comparingLong(RouterSession::changedMs).thenComparing(RouterSession::incarnation))
                .toList();
        closed.stream()
                .limit(Math.max(0, closed.size() - MAX_CLOSED))
                .map(RouterSession::incarnation)
                .forEach(sessions::remove);
    }

    public void write(SnapshotWriter out) throws IOException {
        out.all(sessions.values(), s -> s.write(out));
    }

    public static RouterSessions read(SnapshotReader in) throws IOException {
        RouterSessions all = new RouterSessions();
        in.all(() -> {
            RouterSession s = RouterSession.read(in);
            all.sessions.put(s.incarnation(), s);
        });
        return all;
    }
}
