package org.ragwortrun.ledger.internal;

import java.io.IOException;
import java.util.Collection;
import java.util.Collections;
import java.util.SortedSet;
import java.util.TreeSet;

/** Session of one router incarnation. A closing session waits for agents to confirm the fence. */
public final class RouterSession {
    private final String router;
    private final String incarnation;
    private final boolean direct;
    private final SortedSet<String> awaitedAgents = new TreeSet<>();
    private final SortedSet<String> confirmedAgents = new TreeSet<>();
    private Phase phase = Phase.OPEN;
    private long changedMs;

    RouterSession(String router, String incarnation, boolean direct, long nowMs) {
        this.direct = direct;
        this.router = router;
        this.incarnation = incarnation;
        this.changedMs = nowMs;
    }

    public String router() {
        return router;
    }

    public String incarnation() {
        return incarnation;
    }

    /** Returns whether the router calls endpoints without agents, so that no other process knows its usage. */
    public boolean isDirect() {
        return direct;
    }

    public Phase phase() {
        return phase;
    }

    public long changedMs() {
        return changedMs;
    }

    public SortedSet<String> awaitedAgents() {
        return Collections.unmodifiableSortedSet(awaitedAgents);
    }

    /** Stops new grants when a newer incarnation of the router opens a session. */
    void supersede(long nowMs) {
        if (phase == Phase.OPEN) {
            phase = Phase.SUPERSEDED;
            changedMs = nowMs;
        }
    }

    /** Starts waiting for the given agents, except those that have confirmed. Replaces the agents of an earlier call. */
    void close(Collection<String> agents, long nowMs) {
        phase = Phase.CLOSING;
        changedMs = nowMs;
        awaitedAgents.clear();
        awaitedAgents.addAll(agents);
        awaitedAgents.removeAll(confirmedAgents);
    }

    void confirm(String agent) {
        confirmedAgents.add(agent);
        awaitedAgents.remove(agent);
    }

    void markClosed(long nowMs) {
        phase = Phase.CLOSED;
        changedMs = nowMs;
        awaitedAgents.clear();
        confirmedAgents.clear();
    }

    void write(SnapshotWriter out) throws IOException {
        out.text(router);
        out.text(incarnation);
        out.flag(direct);
        out.number(phase.ordinal());
        out.number(changedMs);
        out.all(awaitedAgents, out::text);
        out.all(confirmedAgents, out::text);
    }

    static RouterSession read(SnapshotReader in) throws IOException {
        RouterSession s = new RouterSession(in.text(), in.text(), in.flag(), 0);
        int phase = (int) in.number();
        if (phase < 0 || phase >= Phase.values().length) {
            throw new IOException("snapshot has a session of phase " + phase);
        }
        s.phase = Phase.values()[phase];
        s.changedMs = in.number();
        in.all(() -> s.awaitedAgents.add(in.text()));
        in.all(() -> s.confirmedAgents.add(in.text()));
        return s;
    }

    /** Phases of a session. Their order is part of the snapshot format. */
    public enum Phase {
        OPEN,
        SUPERSEDED,
        CLOSING,
        CLOSED
    }
}
