package org.ragwortrun.router.internal.pool;

import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Collectors;
import org.ragwortrun.net.FrameClient;
import org.ragwortrun.net.Transport;
import org.ragwortrun.proto.Frame;

/** The routers that there are, by the leader's last word, and connections to those that are asked for tokens. */
public final class PeerLinks implements AutoCloseable {
    private static final int MOST_REMEMBERED = 10_000;

    private final Transport transport;
    private final Map<String, FrameClient> clients = new ConcurrentHashMap<>();
    private final Map<String, List<RouterPeer>> homes = new ConcurrentHashMap<>();
    private volatile List<RouterPeer> routers = List.of();

    public PeerLinks(Transport transport) {
        this.transport = transport;
    }

    /** Takes the list of routers and closes connections to those that are gone. */
    public void update(Collection<RouterPeer> list) {
        if (routers.equals(List.copyOf(list))) {
            return;
        }
        routers = List.copyOf(list);
        homes.clear();
        Set<String> present = routers.stream().map(PeerLinks::key).collect(Collectors.toSet());
        clients.keySet().stream().filter(k -> !present.contains(k)).toList().forEach(k -> {
            FrameClient gone = clients.remove(k);
            if (gone != null) {
                gone.close();
            }
        });
    }

    /** Tells whether accounts have homes, so that routers do not use their own grants. */
    public boolean hasHomes() {
        return Homes.areUsed(routers);
    }

    /** Returns the homes of an account, the first choice first. */
    List<RouterPeer> homes(String account) {
        if (homes.size() > MOST_REMEMBERED) {
            homes.clear();
        }
        return homes.computeIfAbsent(account, a -> Homes.of(a, routers));
    }

    /** Calls a router. Fails with {@code NOT_SENT} at once while there is no connection, which is opened then. */
    CompletableFuture<Frame> call(RouterPeer peer, Frame.Builder request, Duration timeout) {
        return clients.computeIfAbsent(key(peer), k -> transport.connect(peer.address(), (p, f) -> {}))
                .call(request, timeout);
    }

    @Override
    public void close() {
        clients.values().forEach(FrameClient::close);
    }

    private static String key(RouterPeer peer) {
        return peer.name() + '@' + peer.address();
    }
}
