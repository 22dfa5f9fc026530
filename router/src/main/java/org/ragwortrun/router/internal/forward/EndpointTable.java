package org.ragwortrun.router.internal.forward;

import io.netty.handler.codec.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Function;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.ragwortrun.core.config.Origin;
import org.ragwortrun.core.log.Event;
import org.ragwortrun.core.time.Time;
import org.ragwortrun.proto.EndpointList;
import org.ragwortrun.proto.ListedEndpoint;
import org.ragwortrun.routing.EndpointLimit;
import org.ragwortrun.routing.EndpointNotices;
import org.ragwortrun.routing.RampReport;
import org.ragwortrun.routing.WarmUp;

/**
 * The endpoints of all origins, from the latest list.
 *
 * <p>A list of an earlier leader never replaces one of a later leader. A list that this router read itself, because it
 * received none from a leader, is used until a leader sends one again. Used on the event loop only.
 */
final class EndpointTable {
    private static final Logger LOG = LogManager.getLogger(EndpointTable.class);

    // Assumed until a leader has sent the number, so that the shares of this router are too small rather than too
    // large.
    private static final int DEFAULT_ROUTERS = 64;
    // Endpoints that a restarted router lists first later than this have started since.
    private static final long LIST_PERIOD_NANOS = 1_000_000_000L;
    // Several times the number of endpoints of the largest fleet.
    private static final int MAX_NOTICES = 4_096;

    private final Time time;
    private final Function<ListedEndpoint, EndpointConnectionPool> connector;
    private final HeadReader headReader;
    private final Duration longestPause;
    private final Map<String, EndpointState> states = new HashMap<>();
    // Kept longer than the states, for endpoints that are removed and listed again.
    private final Map<String, Notices> notices = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Notices> eldest) {
            return size() > MAX_NOTICES;
        }
    };
    private final boolean followsRamps;
    private final long startNanos;
    private EvacuationEnds evacuationEnds = dataCenter -> OptionalLong.empty();
    private BiConsumer<String, EndpointLimit> rampReporter = (endpoint, limit) -> {};
    private long term;
    private long sequence;
    private List<ListedEndpoint> leaderList = List.of();
    private boolean ownListApplied;
    private volatile long leaderListNanos;
    private long listReadNanos;
    private volatile boolean listKnown;
    private int routers = DEFAULT_ROUTERS;

    /** Reads the heads of answers. */
    interface HeadReader {
        /**
         * Reads the head of an answer.
         *
         * @param current whether it answers the current request; otherwise it may repeat an earlier answer
         */
        void read(EndpointState endpoint, HttpResponse head, boolean current);
    }

    private record Notices(EndpointNotices general, EndpointLimit limit) {}

    /**
     * Creates an empty table.
     *
     * @param connector creates the connection pool of an endpoint
     * @param headReader receives the head of each answer of an endpoint
     * @param longestPause longest time for which an endpoint may ask to get no requests
     * @param followsRamps whether this router follows the ramps of endpoints that are not cold
     */
    EndpointTable(
            Time time,
            Function<ListedEndpoint, EndpointConnectionPool> connector,
            HeadReader headReader,
            Duration longestPause,
            boolean followsRamps) {
        this.time = time;
        this.connector = connector;
        this.headReader = headReader;
        this.longestPause = longestPause;
        this.followsRamps = followsRamps;
        startNanos = time.nanos();
        leaderListNanos = startNanos;
    }

    /** Sets the source of the times at which evacuations ended. */
    void setEvacuationEnds(EvacuationEnds source) {
        evacuationEnds = source;
    }

    /** Sets what reports the ramp of a failing endpoint to its coordinator. */
    void setRampReporter(BiConsumer<String, EndpointLimit> reporter) {
        rampReporter = reporter;
    }

    /**
     * Applies a list that a leader sent. Returns whether it was accepted: a list of an earlier leader is ignored, and
     * so is an unchanged notice that refers to a list that this router has not received.
     */
    boolean apply(EndpointList list) {
        boolean older = list.getTerm() < term || (list.getTerm() == term && list.getSequence() < sequence);
        boolean same = list.getTerm() == term && list.getSequence() == sequence && sequence > 0;
        if (older || list.getUnchanged() && !same) {
            return false;
        }
        leaderListNanos = time.nanos();
        listReadNanos = leaderListNanos - list.getAgeMs() * 1_000_000L;
        routers = list.getRouters();
        if (!same) {
            term = list.getTerm();
            sequence = list.getSequence();
            leaderList = list.getEndpointsList();
        }
        if (!same || ownListApplied || !listKnown) {
            ownListApplied = false;
            replace(leaderList, "leader");
        }
        onListRead();
        return true;
    }

    /** Applies a list that this router read itself, which is used until a leader sends one again. */
    void applyOwnList(List<ListedEndpoint> list) {
        listReadNanos = time.nanos();
        ownListApplied = true;
        replace(list, "own-read");
        onListRead();
    }

    private void onListRead() {
        long now = time.nanos();
        states.values().stream().filter(EndpointState::isListed).forEach(s -> s.onListRead(listReadNanos, now));
    }

    private void replace(List<ListedEndpoint> list, String source) {
        long now = time.nanos();
        Set<String> present = new HashSet<>();
        for (ListedEndpoint e : list) {
            present.add(e.getId());
            EndpointState state = states.get(e.getId());
            boolean moved = state != null && !state.listed().getAddress().equals(e.getAddress());
            if (state == null || moved) {
                EndpointState created = createState(e, now);
                states.put(e.getId(), created);
                if (moved || listKnown && now - startNanos > LIST_PERIOD_NANOS) {
                    created.outcomes().onStarted(now);
                }
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
                    s.markUnlisted();
                    log("endpoint-removed", s.listed(), source);
                });
        states.values().removeIf(s -> !s.isListed() && s.inFlight() == 0);
        listKnown = true;
    }

    private EndpointState createState(ListedEndpoint e, long now) {
        EndpointConnectionPool connections = connector.apply(e);
        Notices known = notices(e.getId());
        Runnable reporter = () -> rampReporter.accept(e.getId(), known.limit());
        EndpointState state = new EndpointState(e, connections, known.general(), known.limit(), reporter, now);
        connections.setHeadListener((head, current) -> headReader.read(state, head, current));
        return state;
    }

    private Notices notices(String id) {
        return notices.computeIfAbsent(
                id, i -> new Notices(new EndpointNotices(longestPause), new EndpointLimit(followsRamps)));
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

    /**
     * Returns a new list of the endpoints of an origin to which new requests may be sent, regardless of their health.
     */
    List<EndpointState> eligible(Origin origin) {
        long now = time.nanos();
        List<EndpointState> eligible = new ArrayList<>();
        for (EndpointState s : states.values()) {
            if (s.isEligible() && s.listed().getService().equals(origin.name())) {
                WarmUp warmUp = s.limit().ramp().warmUp();
                warmUp.setBounds(origin.warmUpRate(), origin.warmUp().toNanos());
                evacuationEnds
                        .endedNanos(s.listed().getDataCenter())
                        .ifPresent(ended -> warmUp.onEvacuationEnded(ended, now));
                eligible.add(s);
            }
        }
        return eligible;
    }

    /** Records the ramp of an endpoint, which may not be listed yet, as a coordinator knows it. */
    void onRampReported(String id, RampReport ramp) {
        long now = time.nanos();
        limit(id).ramp().onReported(Optional.of(ramp), now, now);
    }

    /** Returns the limit of an endpoint, which may not be listed yet. */
    EndpointLimit limit(String id) {
        return notices(id).limit();
    }

    /** Returns the states of all endpoints that are listed or still run requests. */
    Collection<EndpointState> all() {
        return states.values();
    }

    Optional<EndpointState> find(String id) {
        return Optional.ofNullable(states.get(id));
    }

    /**
     * Returns the time since the last accepted list of a leader, or since the start if there was none, in nanoseconds.
     */
    long nanosSinceLeaderList() {
        return time.nanos() - leaderListNanos;
    }

    /** Returns the age of the list in milliseconds. */
    long ageMs() {
        return (time.nanos() - listReadNanos) / 1_000_000;
    }

    /** Returns the number of routers that divide shared allowances. */
    int routers() {
        return routers;
    }

    boolean hasList() {
        return listKnown;
    }

    /** Closes expired idle connections. */
    void closeExpired() {
        states.values().forEach(s -> s.connections().closeExpired());
    }
}
