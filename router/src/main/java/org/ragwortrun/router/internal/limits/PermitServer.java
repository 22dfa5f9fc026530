package org.ragwortrun.router.internal.limits;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
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
import org.ragwortrun.proto.LimitReport;
import org.ragwortrun.proto.PermitReply;
import org.ragwortrun.proto.PermitRequest;
import org.ragwortrun.router.internal.pool.PeerLinks;
import org.ragwortrun.router.internal.pool.RouterPeer;
import org.ragwortrun.routing.AnswerCounts;
import org.ragwortrun.routing.LimitCoordinator;
import org.ragwortrun.routing.LimitStatement;
import org.ragwortrun.routing.RampChange;
import org.ragwortrun.routing.RampReport;

/**
 * Grants permits to the routers for which this router coordinates the limit of an endpoint.
 *
 * <p>A router that does not reach the preferred coordinator asks the next one. That one grants half of the limit,
 * because the preferred one may still grant permits to others. All connected routers are sent the limits and ramps, so that
 * they comply before they have an answer of the endpoint.
 */
public final class PermitServer implements FrameHandler, Runnable {
    private static final Logger LOG = LogManager.getLogger(PermitServer.class);
    private static final double REPLACEMENT_SHARE = 0.5;

    private final String ownName;
    private final PeerLinks links;
    private final Metrics metrics;
    private final Time time;
    private final LimitCoordinator coordinator = new LimitCoordinator();
    private volatile int rampsInForce;
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
        Map<String, RampReport> ramps;
        synchronized (coordinator) {
            limits = coordinator.limits();
            ramps = coordinator.ramps(now);
        }
        limits.forEach((endpoint, statement) -> peer.send(frame(endpoint, statement, now)));
        ramps.forEach((endpoint, ramp) -> peer.send(frame(endpoint, Optional.of(ramp))));
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
            answer = coordinator.request(endpoint, read(request, now), share, now);
        }
        int denied = request.getWanted() - answer.granted();
        metrics.count("permits_granted", answer.granted());
        metrics.count("permits_denied", denied);
        if (answer.limitChanged()) {
            announce(endpoint, answer.statement(), share, now);
        }
        if (answer.ramp().isPresent()) {
            metrics.count("ramp_permits_granted", answer.granted());
            metrics.count("ramp_permits_denied", denied);
        }
        if (answer.rampChange() != RampChange.NONE) {
            onRampChange(endpoint, answer.rampChange(), answer.ramp());
        }
        PermitReply.Builder reply = PermitReply.newBuilder()
                .setGranted(answer.granted())
                .setWaitMs((int) TimeUnit.NANOSECONDS.toMillis(answer.waitNanos()))
                .setLimit(LimitReports.toMessage(endpoint, answer.statement(), now));
        answer.ramp().ifPresent(r -> reply.setRamp(LimitReports.toMessage(endpoint, r)));
        return reply.build();
    }

    private static LimitCoordinator.Request read(PermitRequest request, long now) {
        return new LimitCoordinator.Request(
                LimitReports.toStatement(request.getLimit(), now),
                request.hasRamp() ? LimitReports.toReport(request.getRamp()) : Optional.empty(),
                new AnswerCounts(Math.max(0, request.getGoodAnswers()), Math.max(0, request.getBadAnswers())),
                request.getWanted());
    }

    /** Ends the ramps that are over without a further request, once a second. */
    @Override
    public void run() {
        long now = time.nanos();
        List<String> ended;
        synchronized (coordinator) {
            ended = coordinator.endedRamps(now);
            rampsInForce = coordinator.ramps(now).size();
        }
        ended.forEach(e -> onRampChange(e, RampChange.ENDED, Optional.empty()));
    }

    /** Returns the number of ramps that this router coordinates. */
    public int rampsInForce() {
        return rampsInForce;
    }

    private void onRampChange(String endpoint, RampChange change, Optional<RampReport> ramp) {
        Event.of("ramp-" + change.name().toLowerCase(Locale.ROOT))
                .with("endpoint", endpoint)
                .with("per-second", ramp.map(RampReport::perSecond).orElse(Double.POSITIVE_INFINITY))
                .with("cold-ms", ramp.map(RampReport::warmUpMs).orElse(0L))
                .with("cold-per-second", ramp.map(RampReport::warmUpPerSecond).orElse(0.0))
                .with("routers", connected.size())
                .info(LOG);
        // Whoever follows a ramp that has ended is told so with the next permit.
        if (change == RampChange.BEGUN || change == RampChange.EXTENDED) {
            send(frame(endpoint, ramp));
        }
    }

    /** Returns a message in the form of a reply, because it tells the same to routers that have not asked. */
    private static Frame frame(String endpoint, Optional<RampReport> ramp) {
        PermitReply.Builder reply =
                PermitReply.newBuilder().setLimit(LimitReport.newBuilder().setEndpoint(endpoint));
        ramp.ifPresent(r -> reply.setRamp(LimitReports.toMessage(endpoint, r)));
        return Frame.newBuilder().setPermitReply(reply).build();
    }

    private void send(Frame frame) {
        connected.stream().filter(Peer::isWritable).forEach(p -> p.send(frame));
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
        send(frame(endpoint, statement, now));
    }
}
