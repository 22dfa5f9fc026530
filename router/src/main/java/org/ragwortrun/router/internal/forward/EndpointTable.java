package org.ragwortrun.router.internal.forward;

import io.netty.handler.codec.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Function;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.ragwortrun.core.log.Event;
import org.ragwortrun.core.time.Time;
import org.ragwortrun.proto.EndpointList;
import org.ragwortrun.proto.ListedEndpoint;
import org.ragwortrun.routing.EndpointNotices;

/**
 * The endpoints of all origins, from the newest list.
 *
 * <p>A list of an earlier leader never replaces one of a later leader. A list that this router read itself, because no
 * leader was heard, counts until a leader is heard again. Used on the event loop only.
 */
final class EndpointTable {
    private static final Logger LOG = LogManager.getLogger(EndpointTable.class);

    // Assumed until a leader has told the number, so that shares are small rather than too large.
    private static final int MANY_ROUTERS = 64;
    // Several times the endpoints of the largest fleet.
    private static final int MOST_NOTICES = 4_096;

    private final Time time;
    private final Function<ListedEndpoint, EndpointConnections> connector;
    private final BiConsumer<EndpointState, HttpResponse> heard;
    private final Duration longestPause;
    private final Map<String, EndpointState> states = new HashMap<>();
    // Outlives the states, so that an id that left the list and is back has still said that it leaves.
    private final Map<String, EndpointNotices> notices = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, EndpointNotices> eldest) {
            return size() > MOST_NOTICES;
        }
    };
    private long term;
    private long sequence;
    private List<ListedEndpoint> leaderList = List.of();
    private boolean ownApplied;
    private volatile long heardNanos;
    private long readNanos;
    private volatile boolean known;
    private int routers = MANY_ROUTERS;

    /**
     * Creates an empty table.
     *
     * @param connector makes the connections of an endpoint
     * @param heard takes the head of each answer of an endpoint
     * @param longestPause longest time for which an endpoint may ask to get nothing
     */
    EndpointTable(
            Time time,
            Function<ListedEndpoint, EndpointConnections> connector,
            BiConsumer<EndpointState, HttpResponse> heard,
            Duration longestPause) {
        this.time = time;
        this.connector = connector;
        this.heard = heard;
        this.longestPause = longestPause;
        heardNanos = time.nanos();
    }

    /**
     * Applies a list that a leader sent. Returns whether it counts: a list of an earlier leader does not, nor does the
     * notice that nothing has changed since a list that this router has not got.
     */
    boolean apply(EndpointList list) {
        boolean older = list.getTerm() < term || (list.getTerm() == term && list.getSequence() < sequence);
        boolean same = list.getTerm() == term && list.getSequence() == sequence && sequence > 0;
        if (older || list.getUnchanged() && !same) {
            return false;
        }
        heardNanos = time.nanos();
        readNanos = heardNanos - list.getAgeMs() * 1_000_000L;
        routers = list.getRouters();
        if (!same) {
            term = list.getTerm();
            sequence = list.getSequence();
            leaderList = list.getEndpointsList();
        }
        if (!same || ownApplied || !known) {
            ownApplied = false;
            replace(leaderList, "leader");
        }
        return true;
    }

    /** Applies a list that this router read itself, which counts until a leader is heard again. */
    void applyOwn(List<ListedEndpoint> list) {
        readNanos = time.nanos();
        ownApplied = true;
        replace(list, "own-read");
    }

    private void replace(List<ListedEndpoint> list, String source) {
        long now = time.nanos();
        Set<String> present = new HashSet<>();
        for (ListedEndpoint e : list) {
            present.add(e.getId());
            EndpointState state = states.get(e.getId());
            boolean moved = state != null && !state.listed().getAddress().equals(e.getAddress());
            if (state == null || moved) {
                states.put(e.getId(), state(e, now));
                log("endpoint-added", e, source);
            } else {
                if (!state.listed().getDraining() && e.getDraining()) {
                    log("endpoint-draining", e, source);
                }
                state.update(e, now);
            }
        }
        states.values().stream()
                .filter(s -> !present.contains(s.id()) && s.isListed())
                .forEach(s -> {
                    s.remove();
                    log("endpoint-removed", s.listed(), source);
                });
        states.values().removeIf(s -> !s.isListed() && s.inFlight() == 0);
        known = true;
    }

    private EndpointState state(ListedEndpoint e, long now) {
        EndpointConnections connections = connector.apply(e);
        EndpointNotices said = notices.computeIfAbsent(e.getId(), id -> new EndpointNotices(longestPause));
        EndpointState state = new EndpointState(e, connections, said, now);
        connections.onHeads(head -> heard.accept(state, head));
        return state;
    }

    private static void log(String event, ListedEndpoint e, String source) {
        Event.of(event)
                .with("endpoint", e.getId())
                .with("service", e.getService())
                .with("address", e.getAddress())
                .with("version", e.getVersion())
                .with("source", source)
                .info(LOG);
    }

    /** Returns a new list of the endpoints of an origin that new requests may go to, apart from their health. */
    List<EndpointState> open(String origin) {
        List<EndpointState> open = new ArrayList<>();
        for (EndpointState s : states.values()) {
            if (s.isOpen() && s.listed().getService().equals(origin)) {
                open.add(s);
            }
        }
        return open;
    }

    Optional<EndpointState> find(String id) {
        return Optional.ofNullable(states.get(id));
    }

    /** Returns how long ago a leader was heard, in nanoseconds. */
    long silenceNanos() {
        return time.nanos() - heardNanos;
    }

    /** Returns the age of the list in milliseconds. */
    long ageMs() {
        return (time.nanos() - readNanos) / 1_000_000;
    }

    /** Returns the number of routers among which shared allowances are divided. */
    int routers() {
        return routers;
    }

    boolean isKnown() {
        return known;
    }

    /** Closes what idle connections have outlived their time. */
    void closeExpired() {
        states.values().forEach(s -> s.connections().closeExpired());
    }
}
