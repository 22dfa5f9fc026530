package org.ragwortrun.router.internal.forward;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.Executor;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jspecify.annotations.Nullable;
import org.ragwortrun.core.log.Event;
import org.ragwortrun.core.metrics.Metrics;
import org.ragwortrun.core.time.Time;
import org.ragwortrun.net.FrameHandler;
import org.ragwortrun.net.Peer;
import org.ragwortrun.net.Replies;
import org.ragwortrun.proto.Frame;
import org.ragwortrun.proto.PerformanceReport;
import org.ragwortrun.router.internal.pool.PeerLinks;
import org.ragwortrun.router.internal.pool.RouterPeer;

/**
 * Shares what routers have learned about endpoints through the hub of their data center.
 *
 * <p>Each router sends the answers since its last report to the hub and receives the combined values. The hub is one of
 * the routers. Without a hub each router uses what it has learned itself.
 */
final class PerformanceSharing implements FrameHandler {
    /** Interval at which {@link #report} is to be called. */
    static final long TICK_MS = 2_000;

    private static final Logger LOG = LogManager.getLogger(PerformanceSharing.class);
    // Selects the same hub at all routers of a data center.
    private static final String HUB_KEY = "endpoint-performance";
    private static final Duration TIMEOUT = Duration.ofMillis(500);
    // With an interval in proportion to their number, the reports of all routers of a data center and the replies to
    // them take 3 KB/s at the hub.
    private static final long NANOS_PER_ROUTER = 800_000_000L;

    private final String ownName;
    private final String dataCenter;
    private final PeerLinks links;
    private final PerformanceMessages messages;
    private final EndpointTable endpoints;
    private final Executor loop;
    private final Metrics metrics;
    private final Time time;
    private long reportedNanos;
    private boolean hubSilent;

    PerformanceSharing(
            String ownName,
            String dataCenter,
            PeerLinks links,
            PerformanceMessages messages,
            EndpointTable endpoints,
            Executor loop,
            Metrics metrics,
            Time time) {
        this.ownName = ownName;
        this.dataCenter = dataCenter;
        this.links = links;
        this.messages = messages;
        this.endpoints = endpoints;
        this.loop = loop;
        this.metrics = metrics;
        this.time = time;
        reportedNanos = time.nanos();
    }

    /** Answers the report of another router. */
    @Override
    public void onFrame(Peer peer, Frame frame) {
        loop.execute(() -> {
            long now = time.nanos();
            messages.addReport(frame.getPerformanceReport(), now);
            metrics.count("performance_reports_received", 1);
            peer.send(Replies.to(frame)
                    .setPerformanceReport(messages.combined(now))
                    .build());
        });
    }

    /** Sends a report to the hub if it is time to. Called on the event loop. */
    void report() {
        long now = time.nanos();
        if (now - reportedNanos < NANOS_PER_ROUTER * links.routersIn(dataCenter)) {
            return;
        }
        reportedNanos = now;
        Optional<RouterPeer> hub = links.coordinators(HUB_KEY).stream()
                .filter(r -> r.dataCenter().equals(dataCenter))
                .findFirst();
        if (hub.isEmpty()) {
            return;
        }
        PerformanceReport report = messages.report(now);
        if (hub.get().name().equals(ownName)) {
            messages.addReport(report, now);
            endpoints.all().forEach(s -> s.performance().pooled(now).ifPresent(s.performance()::setOthers));
            return;
        }
        metrics.count("performance_reports_sent", 1);
        links.call(hub.get(), Frame.newBuilder().setPerformanceReport(report), TIMEOUT)
                .whenComplete((reply, failure) -> loop.execute(() -> onReply(hub.get(), reply)));
    }

    private void onReply(RouterPeer hub, @Nullable Frame reply) {
        boolean silent = reply == null || !reply.hasPerformanceReport();
        if (silent != hubSilent) {
            hubSilent = silent;
            Event.of(silent ? "performance-hub-silent" : "performance-hub-answers")
                    .with("hub", hub.name())
                    .info(LOG);
        }
        if (reply != null && !silent) {
            messages.useCombined(reply.getPerformanceReport(), time.nanos());
        }
    }
}
