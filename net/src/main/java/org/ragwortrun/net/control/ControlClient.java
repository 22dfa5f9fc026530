package org.ragwortrun.net.control;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.ragwortrun.core.concurrent.Causes;
import org.ragwortrun.core.log.Event;
import org.ragwortrun.net.Address;
import org.ragwortrun.net.AddressException;
import org.ragwortrun.net.FrameClient;
import org.ragwortrun.net.FrameHandler;
import org.ragwortrun.net.Peer;
import org.ragwortrun.net.Transport;
import org.ragwortrun.net.TransportException;
import org.ragwortrun.proto.Frame;
import org.ragwortrun.proto.Member;
import org.ragwortrun.proto.NotLeader;
import org.ragwortrun.proto.Role;

/**
 * Calls the leaders of the replicated groups.
 *
 * <p>A call is retried at another member only if it certainly had no effect: it was not sent, or the member answered
 * that it is not the leader. After a lost connection or a timeout the effect is unknown and the call fails, so that the
 * caller decides whether its request is idempotent.
 */
public final class ControlClient implements AutoCloseable {
    private static final int META_GROUP = 0;
    private static final long RETRY_DELAY_MS = 50;
    private static final long DISCONNECTED_RETRY_DELAY_MS = 150;
    // Each connection costs both sides keep-alive frames. The leader is always connected, since replies name it.
    private static final int TARGET_MEMBER_CONNECTIONS = 3;
    // Members send a keep-alive frame every 450 ms; the additional half interval allows for a late one.
    private static final long MEMBER_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(700);
    // A leader that is lost is replaced within about this time.
    private static final long PUSH_VALID_NANOS = TimeUnit.SECONDS.toNanos(1);
    // A leader is asked each second. It may be replaced in between.
    private static final long MEMBERS_VALID_NANOS = TimeUnit.SECONDS.toNanos(3);

    private static final Logger LOG = LogManager.getLogger(ControlClient.class);

    private final Transport transport;
    private final FrameHandler pushHandler;
    private final Map<String, FrameClient> clients = new ConcurrentHashMap<>();
    private final Map<Integer, String> leaders = new ConcurrentHashMap<>();
    private final AtomicInteger nextMember = new AtomicInteger();
    private final AtomicLong announcedTerm = new AtomicLong();
    private volatile Push lastPush = new Push("", 0);
    private volatile List<String> configuredNames;
    private volatile NamedMembers named = new NamedMembers(List.of(), System.nanoTime());

    /**
     * Connects to all members.
     *
     * @param members addresses of the control members by name
     * @param pushHandler receiver of frames that members send without a request
     */
    public ControlClient(Transport transport, Map<String, Address> members, FrameHandler pushHandler) {
        this.transport = transport;
        this.pushHandler = new LeaderTracker(pushHandler);
        configuredNames = List.copyOf(members.keySet());
        members.forEach(this::connect);
    }

    /**
     * Calls the leader of a group.
     *
     * @param group 0 for the meta group, otherwise a shard
     * @return the reply, which may be an {@code ErrorReply}; fails with {@link TransportException}, of kind
     *     {@code NOT_SENT} if no leader was found in time and the request certainly had no effect
     */
    public CompletableFuture<Frame> call(int group, Frame.Builder request, Duration timeout) {
        return call(group, request, timeout, timeout);
    }

    /**
     * Calls the leader of a group and accepts a reply that comes after the leader is presumed to be lost.
     *
     * @param patience time within which the request is sent and after which a silent leader is presumed to be lost
     * @param timeout time after which the call fails
     */
    public CompletableFuture<Frame> call(int group, Frame.Builder request, Duration patience, Duration timeout) {
        long now = System.nanoTime();
        Call call = new Call(
                group, request.build(), now + patience.toNanos(), now + timeout.toNanos(), new CompletableFuture<>());
        attempt(call);
        return call.result;
    }

    /** Returns the presumed leader of a group and its address, empty if unknown. */
    public NotLeader hint(int group) {
        NotLeader.Builder hint = NotLeader.newBuilder().setGroup(group);
        String name = leaders.get(group);
        FrameClient client = name == null ? null : clients.get(name);
        if (name != null && client != null) {
            hint.setLeaderName(name).setLeaderAddress(client.address().toString());
        }
        return hint.build();
    }

    /** Returns the configured members that are relays, which have no storage and only redirect to members. */
    public Set<String> relays() {
        return configuredNames.stream()
                .filter(n -> Optional.ofNullable(clients.get(n))
                        .flatMap(FrameClient::peer)
                        .filter(p -> !isMember(p))
                        .isPresent())
                .collect(Collectors.toSet());
    }

    /** Returns the presumed leader of a group. */
    public Optional<String> leader(int group) {
        return Optional.ofNullable(leaders.get(group));
    }

    /**
     * Returns whether no member has sent a frame for longer than the interval of keep-alive frames. Members without a
     * leader count as reachable, since other hosts get no answer from them either.
     */
    public boolean isPartitioned() {
        return clients.values().stream()
                .noneMatch(c -> c.peer()
                        .filter(ControlClient::isMember)
                        .map(p -> p.nanosSinceLastFrame() < MEMBER_TIMEOUT_NANOS)
                        .orElse(false));
    }

    /**
     * Replaces the configured members. The leader is still asked for the others, so members that are no longer configured
     * are used until it no longer names them.
     *
     * @param members addresses of the control members by name
     */
    public void configure(Map<String, Address> members) {
        configuredNames = List.copyOf(members.keySet());
        members.forEach(this::connect);
        closeClients(n -> !configuredNames.contains(n) && !isConnected(n));
    }

    /** Returns the members that a leader has named lately, empty if none has. */
    public List<Member> members() {
        NamedMembers n = named;
        return System.nanoTime() - n.nanos < MEMBERS_VALID_NANOS ? n.members : List.of();
    }

    /** Returns the time since a leader has last named the members, or since this client was created. */
    public long nanosSinceLeaderNamedMembers() {
        return System.nanoTime() - named.nanos;
    }

    /** Returns the names of the members that this client is connected to or tries to connect to, in order. */
    public List<String> knownMembers() {
        return clients.keySet().stream().sorted().toList();
    }

    /** Returns whether a peer is a member and not a relay, which only redirects to members. */
    private static boolean isMember(Peer peer) {
        return peer.hello().getRole() != Role.RELAY;
    }

    @Override
    public void close() {
        clients.values().forEach(FrameClient::close);
    }

    private void attempt(Call call) {
        endOnError(call.result, () -> callTarget(call));
    }

    private void callTarget(Call call) {
        long now = System.nanoTime();
        if (call.isOverdue(now)) {
            call.result.completeExceptionally(new TransportException(
                    TransportException.Kind.NOT_SENT, "no leader of group " + call.group + " was found in time"));
            return;
        }
        String target = target(call.group);
        FrameClient client = clients.get(target);
        if (client == null) {
            leaders.remove(call.group, target);
            retryLater(call);
            return;
        }
        if (call.deadline - call.sendBy > 0) {
            transport.schedule(() -> presumeLost(call, target), Duration.ofNanos(call.sendBy - now));
        }
        client.call(call.request.toBuilder(), Duration.ofNanos(call.deadline - now))
                .whenComplete((reply, failure) -> endOnError(call.result, () -> {
                    if (failure != null) {
                        onFailure(call, target, Causes.of(failure));
                    } else if (reply.hasNotLeader()) {
                        onNotLeader(call.group, target, reply.getNotLeader());
                        retryLater(call);
                    } else {
                        onReply(call, target, reply);
                        call.result.complete(reply);
                    }
                }));
    }

    private void presumeLost(Call call, String target) {
        if (!call.result.isDone()) {
            forgetUnlessLeading(call.group, target);
        }
    }

    /** Forgets a leader that does not answer, unless it sends changes, which only a leader does. */
    private void forgetUnlessLeading(int group, String target) {
        if (group != META_GROUP || !isConnected(target) || !lastPush.isFrom(target, System.nanoTime())) {
            leaders.remove(group, target);
        }
    }

    private void onReply(Call call, String target, Frame reply) {
        if (call.isOverdue(System.nanoTime())) {
            // Another leader may have been found since.
            leaders.putIfAbsent(call.group, target);
        } else {
            leaders.put(call.group, target);
        }
        if (reply.hasHeartbeat() && reply.getHeartbeat().getMembersCount() > 0) {
            named = new NamedMembers(reply.getHeartbeat().getMembersList(), System.nanoTime());
            learn(named.members);
        }
    }

    /** Runs a step of a call. An unexpected failure ends the call, whose caller may wait for nothing else. */
    @SuppressWarnings("PMD.AvoidCatchingGenericException")
    private static void endOnError(CompletableFuture<Frame> result, Runnable step) {
        try {
            step.run();
        } catch (RuntimeException | Error e) {
            result.completeExceptionally(e);
        }
    }

    private void onFailure(Call call, String target, Throwable failure) {
        forgetUnlessLeading(call.group, target);
        boolean notSent = failure instanceof TransportException e && e.kind() == TransportException.Kind.NOT_SENT;
        if (notSent) {
            retryLater(call);
        } else {
            call.result.completeExceptionally(failure);
        }
    }

    private void onNotLeader(int group, String target, NotLeader hint) {
        String leader = hint.getLeaderName();
        learn(leader, hint.getLeaderAddress());
        if (leader.isEmpty() || leader.equals(target)) {
            leaders.remove(group, target);
        } else {
            leaders.put(group, leader);
        }
    }

    /**
     * Connects to current members and disconnects from former ones that are not configured.
     *
     * @param members all members, as the leader has named them to this or another process
     * @return whether one of them was unknown
     */
    public boolean learn(List<Member> members) {
        List<String> before = knownMembers();
        Set<String> current = members.stream().map(Member::getName).collect(Collectors.toSet());
        members.stream()
                .filter(m -> connectedMembers(current) < TARGET_MEMBER_CONNECTIONS)
                .forEach(m -> learn(m.getName(), m.getAddress()));
        closeClients(n -> !configuredNames.contains(n) && !leaders.containsValue(n) && !current.contains(n));
        return !before.containsAll(knownMembers());
    }

    private long connectedMembers(Set<String> current) {
        return connectedNames(ControlClient::isMember).stream()
                .filter(current::contains)
                .count();
    }

    private void closeClients(Predicate<String> condition) {
        clients.keySet().stream().filter(condition).toList().forEach(n -> {
            FrameClient client = clients.remove(n);
            if (client != null) {
                client.close();
            }
        });
    }

    /** Returns whether there is a connection to a member. */
    boolean isConnected(String name) {
        FrameClient client = clients.get(name);
        return client != null && client.peer().isPresent();
    }

    /**
     * Connects to a member that was added after this client was created or that has contacted this process. A connected
     * member stays, and one in the settings stays at the address that they name.
     */
    public void learn(String name, String address) {
        if (name.isEmpty() || configuredNames.contains(name) || isConnected(name)) {
            return;
        }
        try {
            connect(name, Address.parse(address));
        } catch (AddressException e) {
            Event.of("leader-address-unreadable").with("leader", name).warn(LOG, e);
        }
    }

    private void connect(String name, Address address) {
        clients.compute(name, (n, client) -> {
            if (client != null && client.address().equals(address)) {
                return client;
            }
            if (client != null) {
                client.close();
            }
            return transport.connect(address, pushHandler);
        });
    }

    private void retryLater(Call call) {
        // Without a connection no attempt can succeed, and frequent attempts waste CPU time during a partition.
        long delayMs = connectedNames(p -> true).isEmpty() ? DISCONNECTED_RETRY_DELAY_MS : RETRY_DELAY_MS;
        transport.schedule(() -> attempt(call), Duration.ofMillis(delayMs));
    }

    private String target(int group) {
        String known = leaders.get(group);
        if (known != null) {
            return known;
        }
        List<String> members = connectedNames(ControlClient::isMember);
        List<String> open = members.isEmpty() ? connectedNames(p -> true) : members;
        List<String> candidates = open.isEmpty() ? configuredNames : open;
        return candidates.get(Math.floorMod(nextMember.getAndIncrement(), candidates.size()));
    }

    /**
     * A call that may be attempted at several members.
     *
     * @param sendBy monotonic time in nanoseconds after which the request is sent to no further member
     * @param deadline monotonic time in nanoseconds after which the call fails
     */
    private record Call(int group, Frame request, long sendBy, long deadline, CompletableFuture<Frame> result) {
        boolean isOverdue(long now) {
            return now - sendBy >= 0;
        }
    }

    /**
     * The members that a leader has named.
     *
     * @param nanos monotonic time at which it did
     */
    private record NamedMembers(List<Member> members, long nanos) {}

    /**
     * A configuration update that no call requested.
     *
     * @param sender name of the member
     * @param nanos monotonic time at which it was received
     */
    private record Push(String sender, long nanos) {
        boolean isFrom(String name, long now) {
            return sender.equals(name) && now - nanos < PUSH_VALID_NANOS;
        }
    }

    /** Takes the sender of a heartbeat or update that no call requested for the leader of the meta group. */
    private final class LeaderTracker implements FrameHandler {
        private final FrameHandler next;

        LeaderTracker(FrameHandler next) {
            this.next = next;
        }

        @Override
        public void onConnected(Peer peer) {
            next.onConnected(peer);
        }

        @Override
        public void onFrame(Peer peer, Frame frame) {
            if (frame.hasHeartbeat() && frame.getCall() == 0) {
                onAnnouncement(peer.hello().getName(), frame.getHeartbeat().getTerm());
            }
            if (frame.hasConfigUpdate() && frame.getCall() == 0) {
                onPush(peer.hello().getName());
            }
            next.onFrame(peer, frame);
        }

        private void onPush(String name) {
            lastPush = new Push(name, System.nanoTime());
            if (clients.containsKey(name)) {
                // An update names no term, so it does not replace a leader that announced itself or answered.
                leaders.putIfAbsent(META_GROUP, name);
            }
        }

        private void onAnnouncement(String name, long term) {
            boolean latest = term >= announcedTerm.getAndAccumulate(term, Math::max);
            if (latest && clients.containsKey(name)) {
                leaders.put(META_GROUP, name);
            }
        }

        @Override
        public void onClosed(Peer peer) {
            next.onClosed(peer);
        }
    }

    private List<String> connectedNames(Predicate<Peer> condition) {
        return clients.entrySet().stream()
                .filter(e -> e.getValue().peer().filter(condition).isPresent())
                .map(Map.Entry::getKey)
                .sorted()
                .toList();
    }
}
