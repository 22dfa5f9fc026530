package org.ragwortrun.control.internal;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.WeakHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.ragwortrun.core.concurrent.Causes;
import org.ragwortrun.core.concurrent.Duty;
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
 * Reads the platform's list of endpoints while this member leads the meta group, and tells the routers.
 *
 * <p>One reader for the whole fleet keeps the calls to the platform few. Another member reads when the leader is lost.
 * Routers hear of a change at once, and otherwise once a second, so that they know how old their view is. Runs on a
 * thread of its own, because a read may block.
 */
public final class EndpointDirectory implements Runnable, AutoCloseable {
    private static final Logger LOG = LogManager.getLogger(EndpointDirectory.class);
    // Routers that hear nothing for 2.5 s read the list themselves.
    private static final long BEAT_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final Time time;
    private final EndpointSource source;
    private final MetaGroup meta;
    private final Peers peers;
    private final ScheduledExecutorService timer = Duty.timer("control-endpoints");
    private List<ListedEndpoint> last = List.of();
    private List<Peer> routers = List.of();
    private List<RouterAddress> takers = List.of();
    // The sequence of the whole list that each connection got last.
    private final Map<Peer, Long> sent = new WeakHashMap<>();
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

    /** Starts to read at an interval. */
    public static EndpointDirectory start(
            Time time, EndpointSource source, MetaGroup meta, Peers peers, Duration interval) {
        EndpointDirectory directory = new EndpointDirectory(time, source, meta, peers);
        Duty.repeat(directory.timer, directory, interval.toMillis(), interval.toMillis());
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
            sent.clear();
        }
        boolean changed = read();
        long now = time.nanos();
        boolean due = changed || now - sentNanos >= BEAT_NANOS;
        if (hasRead && due) {
            if (noteRouters()) {
                sequence++;
            }
            sentNanos = now;
            send(term.getAsLong(), now);
        }
    }

    @Override
    public void close() {
        Duty.stop(timer);
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

    /** Notes the version that most endpoints of an origin run when it is first seen, from which moves start. */
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
        Frame whole = Frame.newBuilder()
                .setEndpointList(list.setUnchanged(false).addAllEndpoints(last).addAllPeers(takers))
                .build();
        for (Peer p : routers) {
            if (p.isWritable()) {
                boolean known = Long.valueOf(sequence).equals(sent.put(p, sequence));
                p.send(known ? unchanged : whole);
            }
        }
    }

    private static String host(String address) {
        return address.substring(0, Math.max(0, address.lastIndexOf(':')));
    }

    /** Notes which routers there are. Returns whether those that take reservations are others than before. */
    private boolean noteRouters() {
        routers = peers.byRole(Role.ROUTER);
        // A host that holds a member is cut off or lost together with a part of the owner, which homes should outlast.
        Set<String> hosts =
                meta.members().stream().map(m -> host(m.getAddress())).collect(Collectors.toSet());
        List<RouterAddress> next = routers.stream()
                .filter(p -> !p.hello().getAddress().isEmpty()
                        && !hosts.contains(host(p.hello().getAddress())))
                .map(p -> RouterAddress.newBuilder()
                        .setName(p.hello().getName())
                        .setDataCenter(p.hello().getDataCenter())
                        .setAddress(p.hello().getAddress())
                        .build())
                .sorted(Comparator.comparing(RouterAddress::getName))
                .distinct()
                .toList();
        boolean changed = !next.equals(takers);
        takers = next;
        return changed;
    }
}
