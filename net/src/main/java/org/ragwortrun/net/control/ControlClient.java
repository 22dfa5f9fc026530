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
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.ragwortrun.core.concurrent.Causes;
import org.ragwortrun.core.concurrent.Closer;
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
 * <p>A call moves on to another member only when it certainly had no effect: it was not sent, or the member answered
 * that it is not the leader. After a lost connection or a timeout the effect is unknown and the call fails, so that the
 * caller decides whether its request is idempotent.
 */
public final class ControlClient implements AutoCloseable {
    private static final long RETRY_PAUSE_MS = 50;
    private static final long ALONE_PAUSE_MS = 150;
    // Connections cost both sides their beats; the leader is always connected to, as answers name it.
    private static final int ENOUGH_MEMBERS = 3;
    // Members send a beat every 450 ms; half a beat more allows for one that is late.
    private static final long CUT_OFF_NANOS = TimeUnit.MILLISECONDS.toNanos(700);

    private static final Logger LOG = LogManager.getLogger(ControlClient.class);

    private final Transport transport;
    private final FrameHandler pushes;
    private final List<String> names;
    private final Map<String, FrameClient> clients = new ConcurrentHashMap<>();
    private final Map<Integer, String> leaders = new ConcurrentHashMap<>();
    private final AtomicInteger next = new AtomicInteger();
    private final Closer closer = new Closer();

    /**
     * Connects to all members.
     *
     * @param members addresses of the control members by name
     * @param pushes receiver of frames that members send unasked
     */
    public ControlClient(Transport transport, Map<String, Address> members, FrameHandler pushes) {
        this.transport = transport;
        this.pushes = pushes;
        names = List.copyOf(members.keySet());
        members.forEach((name, address) -> clients.put(name, closer.register(transport.connect(address, pushes))));
    }

    /**
     * Calls the leader of a group.
     *
     * @param group 0 for the meta group, otherwise a shard
     * @return the reply, which may be an {@code ErrorReply}; fails with {@link TransportException}, of kind
     *     {@code NOT_SENT} if no leader was found in time and the request certainly had no effect
     */
    public CompletableFuture<Frame> call(int group, Frame.Builder request, Duration timeout) {
        long deadline = System.nanoTime() + timeout.toNanos();
        CompletableFuture<Frame> result = new CompletableFuture<>();
        attempt(group, request.build(), deadline, result);
        return result;
    }

    /** Returns where the leader of a group is thought to be. */
    public NotLeader hint(int group) {
        NotLeader.Builder hint = NotLeader.newBuilder().setGroup(group);
        String name = leaders.get(group);
        FrameClient client = name == null ? null : clients.get(name);
        if (name != null && client != null) {
            hint.setLeaderName(name).setLeaderAddress(client.address().toString());
        }
        return hint.build();
    }

    /** Returns the names among the settings' members whose process has no storage and only leads to members. */
    public Set<String> relays() {
        return names.stream()
                .filter(n -> Optional.ofNullable(clients.get(n))
                        .flatMap(FrameClient::peer)
                        .filter(p -> !isMember(p))
                        .isPresent())
                .collect(Collectors.toSet());
    }

    /** Returns the member that is thought to lead a group. */
    public Optional<String> leader(int group) {
        return Optional.ofNullable(leaders.get(group));
    }

    /**
     * Tells whether no member has been heard for longer than their beats are apart. Members without a leader are heard:
     * then other hosts get no answer either.
     */
    public boolean isCutOff() {
        return clients.values().stream()
                .noneMatch(c -> c.peer()
                        .filter(ControlClient::isMember)
                        .map(p -> p.silentNanos() < CUT_OFF_NANOS)
                        .orElse(false));
    }

    /** Tells a member from a relay, which only leads to members. */
    private static boolean isMember(Peer peer) {
        return peer.hello().getRole() != Role.RELAY;
    }

    @Override
    public void close() {
        closer.close();
    }

    private void attempt(int group, Frame request, long deadline, CompletableFuture<Frame> result) {
        long leftMs = TimeUnit.NANOSECONDS.toMillis(deadline - System.nanoTime());
        if (leftMs <= 0) {
            result.completeExceptionally(new TransportException(
                    TransportException.Kind.NOT_SENT, "no leader of group " + group + " was found in time"));
            return;
        }
        String target = target(group);
        FrameClient client = clients.get(target);
        if (client == null) {
            leaders.remove(group, target);
            retryLater(group, request, deadline, result);
            return;
        }
        client.call(request.toBuilder(), Duration.ofMillis(leftMs)).whenComplete((reply, failure) -> {
            if (failure != null) {
                onFailure(group, request, deadline, result, target, Causes.of(failure));
            } else if (reply.hasNotLeader()) {
                onNotLeader(group, target, reply.getNotLeader());
                retryLater(group, request, deadline, result);
            } else {
                leaders.put(group, target);
                if (reply.hasHeartbeat() && reply.getHeartbeat().getMembersCount() > 0) {
                    learn(reply.getHeartbeat().getMembersList());
                }
                result.complete(reply);
            }
        });
    }

    private void onFailure(
            int group,
            Frame request,
            long deadline,
            CompletableFuture<Frame> result,
            String target,
            Throwable failure) {
        leaders.remove(group, target);
        boolean notSent = failure instanceof TransportException e && e.kind() == TransportException.Kind.NOT_SENT;
        if (notSent) {
            retryLater(group, request, deadline, result);
        } else {
            result.completeExceptionally(failure);
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

    /** Connects to the members that the leader names, and leaves those that are members no longer. */
    private void learn(List<Member> members) {
        members.stream()
                .filter(m -> open(ControlClient::isMember).size() < ENOUGH_MEMBERS)
                .forEach(m -> learn(m.getName(), m.getAddress()));
        clients.keySet().stream()
                .filter(n -> !names.contains(n) && !leaders.containsValue(n))
                .filter(n -> members.stream().noneMatch(m -> m.getName().equals(n)))
                .toList()
                .forEach(n -> {
                    FrameClient client = clients.remove(n);
                    if (client != null) {
                        client.close();
                    }
                });
    }

    /** Connects to a member that has become one after this client was made, or that has made itself known. */
    public void learn(String name, String address) {
        if (name.isEmpty() || clients.containsKey(name)) {
            return;
        }
        try {
            Address parsed = Address.parse(address);
            clients.computeIfAbsent(name, n -> closer.register(transport.connect(parsed, pushes)));
        } catch (AddressException e) {
            Event.of("leader-address-unreadable").with("leader", name).warn(LOG, e);
        }
    }

    private void retryLater(int group, Frame request, long deadline, CompletableFuture<Frame> result) {
        // Without any connection there is nobody to ask, and asking often costs a host that is cut off its processor.
        long pauseMs = open(p -> true).isEmpty() ? ALONE_PAUSE_MS : RETRY_PAUSE_MS;
        CompletableFuture.delayedExecutor(pauseMs, TimeUnit.MILLISECONDS)
                .execute(() -> attempt(group, request, deadline, result));
    }

    private String target(int group) {
        String known = leaders.get(group);
        if (known != null) {
            return known;
        }
        List<String> members = open(ControlClient::isMember);
        List<String> open = members.isEmpty() ? open(p -> true) : members;
        List<String> from = open.isEmpty() ? names : open;
        return from.get(Math.floorMod(next.getAndIncrement(), from.size()));
    }

    private List<String> open(Predicate<Peer> condition) {
        return clients.entrySet().stream()
                .filter(e -> e.getValue().peer().filter(condition).isPresent())
                .map(Map.Entry::getKey)
                .sorted()
                .toList();
    }
}
