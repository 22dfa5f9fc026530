package org.ragwortrun.router.internal.limits;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.ragwortrun.core.log.Event;
import org.ragwortrun.core.metrics.Metrics;
import org.ragwortrun.core.time.Time;
import org.ragwortrun.net.FrameHandler;
import org.ragwortrun.net.Peer;
import org.ragwortrun.net.Replies;
import org.ragwortrun.proto.Frame;
import org.ragwortrun.proto.PermitReply;
import org.ragwortrun.proto.PermitRequest;
import org.ragwortrun.router.internal.pool.PeerLinks;
import org.ragwortrun.router.internal.pool.RouterPeer;
import org.ragwortrun.routing.LimitCoordinator;
import org.ragwortrun.routing.LimitStatement;

/**
 * Grants permits to the routers for which this router coordinates the limit of an endpoint.
 *
 * <p>A router that does not reach the preferred coordinator asks the next one. That one grants half of the limit,
 * because the preferred one may still grant permits to others. All connected routers are sent the limits, so that they
 * comply before they have an answer of the endpoint.
 */
public final class PermitServer implements FrameHandler {
    private static final Logger LOG = LogManager.getLogger(PermitServer.class);
    private static final double REPLACEMENT_SHARE = 0.5;

    private final String ownName;
    private final PeerLinks links;
    private final Metrics metrics;
    private final Time time;
    private final LimitCoordinator coordinator = new LimitCoordinator();
    private final Set<Peer> connected = ConcurrentHashMap.newKeySet();

    public PermitServer(String ownName, PeerLinks links, Metrics metrics, Time time) {
        this.ownName = ownName;
        this.links = links;
        this.metrics = metrics;
        this.time = time;
    }

    @Override
    public void onConnected(Peer peer) {
        connected.add(peer);
        long now = time.nanos();
        Map<String, LimitStatement> limits;
        synchronized (coordinator) {
            limits = coordinator.limits();
        }
        limits.forEach((endpoint, statement) -> peer.send(frame(endpoint, statement, now)));
    }

    @Override
    public void onClosed(Peer peer) {
        connected.remove(peer);
    }

    @Override
    public void onFrame(Peer peer, Frame frame) {
        peer.send(Replies.to(frame)
                .setPermitReply(grant(frame.getPermitRequest()))
                .build());
    }

    /** Answers a request of another router or of this one. */
    PermitReply grant(PermitRequest request) {
        long now = time.nanos();
        String endpoint = request.getLimit().getEndpoint();
        double share = share(endpoint);
        LimitCoordinator.Answer answer;
        synchronized (coordinator) {
            answer = coordinator.request(
                    endpoint, LimitReports.toStatement(request.getLimit(), now), request.getWanted(), share, now);
        }
        metrics.count("permits_granted", answer.granted());
        metrics.count("permits_denied", request.getWanted() - answer.granted());
        if (answer.limitChanged()) {
            announce(endpoint, answer.statement(), share, now);
        }
        return PermitReply.newBuilder()
                .setGranted(answer.granted())
                .setWaitMs((int) TimeUnit.NANOSECONDS.toMillis(answer.waitNanos()))
                .setLimit(LimitReports.toMessage(endpoint, answer.statement(), now))
                .build();
    }

    private static Frame frame(String endpoint, LimitStatement statement, long now) {
        return Frame.newBuilder()
                .setLimitReport(LimitReports.toMessage(endpoint, statement, now))
                .build();
    }

    private double share(String endpoint) {
        List<RouterPeer> coordinators = links.coordinators(endpoint);
        boolean preferred = coordinators.isEmpty() || coordinators.get(0).name().equals(ownName);
        return preferred ? 1 : REPLACEMENT_SHARE;
    }

    private void announce(String endpoint, LimitStatement statement, double share, long now) {
        Event.of("limit-coordinated")
                .with("endpoint", endpoint)
                .with("per-second", statement.perSecond())
                .with("share", share)
                .with("routers", connected.size())
                .info(LOG);
        Frame report = frame(endpoint, statement, now);
        connected.stream().filter(Peer::isWritable).forEach(p -> p.send(report));
    }
}
