package org.ragwortrun.control.internal;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.WeakHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.ragwortrun.core.concurrent.Causes;
import org.ragwortrun.core.concurrent.SingleThreadExecutor;
import org.ragwortrun.core.log.Event;
import org.ragwortrun.core.time.Time;
import org.ragwortrun.net.Peer;
import org.ragwortrun.net.control.EndpointSource;
import org.ragwortrun.net.control.EndpointSourceException;
import org.ragwortrun.proto.EndpointList;
import org.ragwortrun.proto.Frame;
import org.ragwortrun.proto.ListedEndpoint;
import org.ragwortrun.proto.MetaCommand;
import org.ragwortrun.proto.Role;
import org.ragwortrun.proto.RouterAddress;
import org.ragwortrun.proto.SetBaseline;

/**
 * Reads the platform's list of endpoints while this member leads the meta group, and sends it to the routers.
 *
 * <p>One reader for the whole fleet limits the number of calls to the platform. If the leader is lost, the next leader
 * reads the list. Routers get a message at once after a change, and otherwise once a second, so that they know how old
 * their view is. Reads run on a separate thread because they may block.
 */
public final class EndpointDirectory implements Runnable, AutoCloseable {
    private static final Logger LOG = LogManager.getLogger(EndpointDirectory.class);
    // Routers that receive nothing for 2.5 s read the list themselves.
    private static final long SEND_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final Time time;
    private final EndpointSource source;
    private final MetaGroup meta;
    private final Peers peers;
    private final ScheduledExecutorService timer = SingleThreadExecutor.timer("control-endpoints");
    private List<ListedEndpoint> last = List.of();
    private List<Peer> routers = List.of();
    private List<RouterAddress> servingRouters = List.of();
    // Sequence number of the last full list that was sent on each connection.
    private final Map<Peer, Long> sentSequences = new WeakHashMap<>();
    private OptionalLong sentTerm = OptionalLong.empty();
    private long readNanos;
    private long sentNanos;
    private long sequence;
    private boolean hasRead;
    private boolean failing;

    private EndpointDirectory(Time time, EndpointSource source, MetaGroup meta, Peers peers) {
        this.time = time;
        this.source = source;
        this.meta = meta;
        this.peers = peers;
    }

    /** Starts reading the list at the interval. */
    public static EndpointDirectory start(
            Time time, EndpointSource source, MetaGroup meta, Peers peers, Duration interval) {
        EndpointDirectory directory = new EndpointDirectory(time, source, meta, peers);
        SingleThreadExecutor.repeat(directory.timer, directory, interval.toMillis(), interval.toMillis());
        return directory;
    }

    @Override
    public void run() {
        OptionalLong term = meta.leasedTerm();
        if (term.isEmpty()) {
            hasRead = false;
            return;
        }
        if (!term.equals(sentTerm)) {
            sentTerm = term;
            sentSequences.clear();
        }
        boolean changed = read();
        long now = time.nanos();
        boolean due = changed || now - sentNanos >= SEND_INTERVAL_NANOS;
        if (hasRead && due) {
            if (updateRouters()) {
                sequence++;
            }
            sentNanos = now;
            send(term.getAsLong(), now);
        }
    }

    @Override
    public void close() {
        SingleThreadExecutor.stop(timer);
    }

    private boolean read() {
        try {
            List<ListedEndpoint> next = source.read();
            readNanos = time.nanos();
            boolean changed = !hasRead || !next.equals(last);
            if (changed) {
                sequence++;
                last = List.copyOf(next);
                Event.of("endpoints-read")
                        .with("endpoints", next.size())
                        .with(
                                "draining",
                                next.stream()
                                        .filter(ListedEndpoint::getDraining)
                                        .count())
                        .with("sequence", sequence)
                        .info(LOG);
                proposeBaselines();
            }
            if (failing) {
                Event.of("endpoint-list-regained").info(LOG);
            }
            failing = false;
            hasRead = true;
            return changed;
        } catch (EndpointSourceException e) {
            if (!failing) {
                Event.of("endpoint-list-lost").warn(LOG, e);
            }
            failing = true;
            return false;
        }
    }

    /**
     * Proposes a baseline version, from which moves start, for each service that has none: the version that most of its
     * endpoints run.
     */
    private void proposeBaselines() {
        Map<String, Map<String, Integer>> counts = new HashMap<>();
        last.stream()
                .filter(e -> !e.getVersion().isEmpty() && !e.getDraining())
                .forEach(e -> counts.computeIfAbsent(e.getService(), s -> new HashMap<>())
                        .merge(e.getVersion(), 1, Integer::sum));
        meta.snapshot().orderedMoves().forEach(m -> counts.remove(m.getService()));
        counts.forEach((service, versions) -> versions.entrySet().stream()
                .max(Map.Entry.<String, Integer>comparingByValue()
                        .thenComparing(Map.Entry.comparingByKey(Comparator.reverseOrder())))
                .ifPresent(v -> meta.propose(MetaCommand.newBuilder()
                                .setSetBaseline(SetBaseline.newBuilder()
                                        .setService(service)
                                        .setVersion(v.getKey())))
                        .whenComplete((r, e) -> {
                            if (e != null) {
                                Event.of("baseline-not-proposed")
                                        .with("service", service)
                                        .warn(LOG, Causes.of(e));
                            }
                        })));
    }

    private void send(long term, long now) {
        EndpointList.Builder list = EndpointList.newBuilder()
                .setTerm(term)
                .setSequence(sequence)
                .setAgeMs((int) TimeUnit.NANOSECONDS.toMillis(now - readNanos))
                .setRouters(routers.size());
        Frame unchanged =
                Frame.newBuilder().setEndpointList(list.setUnchanged(true)).build();
        Frame full = Frame.newBuilder()
                .setEndpointList(list.setUnchanged(false).addAllEndpoints(last).addAllPeers(servingRouters))
                .build();
        for (Peer p : routers) {
            if (p.isWritable()) {
                boolean upToDate = Long.valueOf(sequence).equals(sentSequences.put(p, sequence));
                p.send(upToDate ? unchanged : full);
            }
        }
    }

    /** Updates the list of connected routers. Returns whether the set of routers that serve others has changed. */
    private boolean updateRouters() {
        routers = peers.byRole(Role.ROUTER);
        List<RouterAddress> next = ServingRouters.select(
                routers.stream().map(Peer::hello).toList(),
                meta.members().stream().map(m -> m.getAddress()).toList());
        boolean changed = !next.equals(servingRouters);
        servingRouters = next;
        return changed;
    }
}
