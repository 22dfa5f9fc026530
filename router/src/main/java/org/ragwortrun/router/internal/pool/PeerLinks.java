package org.ragwortrun.router.internal.pool;

import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.ragwortrun.net.FrameClient;
import org.ragwortrun.net.FrameHandler;
import org.ragwortrun.net.Transport;
import org.ragwortrun.proto.Frame;

/** The routers in the leader's latest list, and connections to those that serve as homes or coordinators. */
public final class PeerLinks implements AutoCloseable {
    private static final int MAX_CACHED_KEYS = 10_000;
    // Each neighbor that is called costs a connection for as long as it is listed.
    private static final int MAX_NEIGHBORS = 8;

    private final String ownName;
    private final Transport transport;
    private final FrameHandler pushes;
    private final Map<String, FrameClient> clients = new ConcurrentHashMap<>();
    private final Map<String, List<RouterPeer>> homesByAccount = new ConcurrentHashMap<>();
    private final Map<String, List<RouterPeer>> coordinatorsByEndpoint = new ConcurrentHashMap<>();
    private volatile List<RouterPeer> routers = List.of();

    /**
     * Creates links without routers.
     *
     * @param ownName name of this router, to which it opens no connection
     * @param pushes handles messages that other routers send without being asked
     */
    public PeerLinks(String ownName, Transport transport, FrameHandler pushes) {
        this.ownName = ownName;
        this.transport = transport;
        this.pushes = pushes;
    }

    /**
     * Replaces the list of routers, closes connections to routers that are no longer listed, and opens those to
     * coordinators, which send their limits.
     */
    public void update(Collection<RouterPeer> list) {
        if (routers.equals(List.copyOf(list))) {
            return;
        }
        routers = List.copyOf(list);
        homesByAccount.clear();
        coordinatorsByEndpoint.clear();
        Set<String> present = routers.stream().map(PeerLinks::key).collect(Collectors.toSet());
        clients.keySet().stream().filter(k -> !present.contains(k)).toList().forEach(k -> {
            FrameClient removed = clients.remove(k);
            if (removed != null) {
                removed.close();
            }
        });
        HomeRouters.ranked("", routers).stream()
                .filter(c -> !c.name().equals(ownName))
                .forEach(this::client);
    }

    /** Returns whether accounts have homes, so that other routers do not use their own grants. */
    public boolean hasHomes() {
        return HomeRouters.areUsed(routers);
    }

    /** Returns the homes of an account in order of preference. */
    List<RouterPeer> homes(String account) {
        return cached(homesByAccount, account, a -> HomeRouters.of(a, routers));
    }

    /** Returns the routers that may coordinate the limit of an endpoint, one in each data center, best first. */
    public List<RouterPeer> coordinators(String endpoint) {
        return cached(coordinatorsByEndpoint, endpoint, e -> HomeRouters.ranked(e, routers));
    }

    /**
     * Returns a few other routers: first those that this router is connected to, one in each data center, then others that
     * differ between the callers.
     */
    List<RouterPeer> neighbors() {
        return Stream.concat(
                        HomeRouters.ranked("", routers).stream(),
                        routers.stream().sorted(HomeRouters.rank(ownName).reversed()))
                .filter(r -> !r.name().equals(ownName))
                .distinct()
                .limit(MAX_NEIGHBORS)
                .toList();
    }

    /** Returns the number of listed routers. */
    public int size() {
        return routers.size();
    }

    /** Returns the names of the listed routers of a data center. */
    public List<String> names(String dataCenter) {
        return routers.stream()
                .filter(r -> r.dataCenter().equals(dataCenter))
                .map(RouterPeer::name)
                .toList();
    }

    /** Returns the router that decides for a data center, if any of its routers is listed. */
    public Optional<RouterPeer> hub(String dataCenter) {
        return coordinators("").stream()
                .filter(r -> r.dataCenter().equals(dataCenter))
                .findFirst();
    }

    /** Returns the number of routers of a data center. */
    public int routersIn(String dataCenter) {
        return (int)
                routers.stream().filter(r -> r.dataCenter().equals(dataCenter)).count();
    }

    private static List<RouterPeer> cached(
            Map<String, List<RouterPeer>> cache, String key, Function<String, List<RouterPeer>> ranking) {
        if (cache.size() > MAX_CACHED_KEYS) {
            cache.clear();
        }
        return cache.computeIfAbsent(key, ranking);
    }

    /** Calls a router. Without a connection, it starts to open one and fails with {@code NOT_SENT} at once. */
    public CompletableFuture<Frame> call(RouterPeer peer, Frame.Builder request, Duration timeout) {
        return client(peer).call(request, timeout);
    }

    private FrameClient client(RouterPeer peer) {
        return clients.computeIfAbsent(key(peer), k -> transport.connect(peer.address(), pushes));
    }

    @Override
    public void close() {
        clients.values().forEach(FrameClient::close);
    }

    private static String key(RouterPeer peer) {
        return peer.name() + '@' + peer.address();
    }
}
