package org.ragwortrun.ledger.internal;

import java.io.IOException;
import java.util.Collection;
import java.util.Collections;
import java.util.SortedSet;
import java.util.TreeSet;

/** Lifetime of one router incarnation: open, superseded, closing while agents are awaited, or closed. */
public final class RouterSession {
    private final String router;
    private final String incarnation;
    private final boolean direct;
    private final SortedSet<String> awaited = new TreeSet<>();
    private final SortedSet<String> confirmed = new TreeSet<>();
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

    /** Tells whether the router calls endpoints without agents, so that nobody else knows what it spent. */
    public boolean isDirect() {
        return direct;
    }

    public Phase phase() {
        return phase;
    }

    public long changedMs() {
        return changedMs;
    }

    public SortedSet<String> awaited() {
        return Collections.unmodifiableSortedSet(awaited);
    }

    /** Stops new grants because a newer incarnation of the router has opened a session. */
    void supersede(long nowMs) {
        if (phase == Phase.OPEN) {
            phase = Phase.SUPERSEDED;
            changedMs = nowMs;
        }
    }

    /** Awaits the agents of a new list that have not confirmed yet. A later list replaces an earlier one. */
    void close(Collection<String> agents, long nowMs) {
        phase = Phase.CLOSING;
        changedMs = nowMs;
        awaited.clear();
        awaited.addAll(agents);
        awaited.removeAll(confirmed);
    }

    void confirm(String agent) {
        confirmed.add(agent);
        awaited.remove(agent);
    }

    void closed(long nowMs) {
        phase = Phase.CLOSED;
        changedMs = nowMs;
        awaited.clear();
        confirmed.clear();
    }

    void write(SnapshotWriter out) throws IOException {
        out.text(router);
        out.text(incarnation);
        out.flag(direct);
        out.number(phase.ordinal());
        out.number(changedMs);
        out.all(awaited, out::text);
        out.all(confirmed, out::text);
    }

    static RouterSession read(SnapshotReader in) throws IOException {
        RouterSession s = new RouterSession(in.text(), in.text(), in.flag(), 0);
        int phase = (int) in.number();
        if (phase < 0 || phase >= Phase.values().length) {
            throw new IOException("snapshot has a session of phase " + phase);
        }
        s.phase = Phase.values()[phase];
        s.changedMs = in.number();
        in.all(() -> s.awaited.add(in.text()));
        in.all(() -> s.confirmed.add(in.text()));
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
