package org.ragwortrun.router.internal.agents;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.jspecify.annotations.Nullable;
import org.ragwortrun.core.config.Endpoint;
import org.ragwortrun.core.refusal.Refusal;
import org.ragwortrun.core.refusal.RefusalReason;
import org.ragwortrun.core.time.Time;
import org.ragwortrun.net.Address;
import org.ragwortrun.net.FrameClient;
import org.ragwortrun.net.FrameHandler;
import org.ragwortrun.net.Peer;
import org.ragwortrun.net.Transport;
import org.ragwortrun.proto.Frame;
import org.ragwortrun.proto.LoadReport;
import org.ragwortrun.routing.EndpointCandidate;

/**
 * The connection to the agent of one endpoint and the last known state of the endpoint.
 *
 * <p>An endpoint that is marked as leaving stays marked until a new incarnation of its agent connects.
 */
public final class AgentLink implements AutoCloseable {
    private final FrameClient client;
    private final AtomicInteger inFlight = new AtomicInteger();
    private final AtomicInteger startedSinceReport = new AtomicInteger();
    private final Time time;
    private volatile Endpoint endpoint;
    private volatile @Nullable LoadReport load;
    private volatile @Nullable String lastIncarnation;
    private volatile @Nullable String leavingIncarnation;
    private volatile boolean leavingOnConnect;
    private volatile long pausedUntilNanos;

    AgentLink(Transport transport, Endpoint endpoint, Address address, Time time) {
        this.endpoint = endpoint;
        this.time = time;
        pausedUntilNanos = time.nanos();
        client = transport.connect(address, new ReportHandler());
    }

    public Endpoint endpoint() {
        return endpoint;
    }

    /** Returns the open connection, if there is one. */
    public Optional<Peer> peer() {
        return client.peer();
    }

    /** Returns the incarnation of the connected agent. */
    public Optional<String> incarnation() {
        return peer().map(p -> p.hello().getIncarnation());
    }

    public Optional<LoadReport> load() {
        return Optional.ofNullable(load);
    }

    /**
     * Marks the endpoint as leaving. The mark applies to the connected incarnation of the agent or, without a
     * connection, to the last one that was connected. If none has ever connected, it applies to the first one.
     */
    public void markLeaving() {
        String last = lastIncarnation;
        leavingIncarnation = last;
        leavingOnConnect = last == null;
    }

    /** Records what a refusal of the agent says about later requests: it is leaving, or accepts none for a time. */
    public void onRefused(Refusal refusal) {
        if (refusal.reason() == RefusalReason.LEAVING) {
            markLeaving();
        } else if (refusal.reason() == RefusalReason.ENDPOINT_LIMITED) {
            refusal.retryAfter().ifPresent(wait -> pausedUntilNanos = time.nanos() + wait.toNanos());
        }
    }

    /** Replaces the properties of the endpoint. */
    void update(Endpoint changed) {
        endpoint = changed;
    }

    boolean isIdle() {
        return inFlight.get() == 0;
    }

    /** Counts a request that was sent to the endpoint. */
    public void requestStarted() {
        inFlight.incrementAndGet();
        startedSinceReport.incrementAndGet();
    }

    public void requestEnded() {
        inFlight.decrementAndGet();
    }

    /** Returns the endpoint as a candidate for new work, unless it is leaving, unhealthy, paused or not connected. */
    Optional<EndpointCandidate> candidate() {
        LoadReport report = load;
        Endpoint e = endpoint;
        return incarnation()
                .filter(i -> !i.equals(leavingIncarnation))
                .filter(i -> pausedUntilNanos - time.nanos() <= 0)
                .filter(i -> report == null
                        || !report.getAgentIncarnation().equals(i)
                        || report.getHealthy() && !report.getLeaving())
                .map(i -> new EndpointCandidate(
                        e.name(),
                        i,
                        e.version(),
                        e.dataCenter(),
                        e.slots(),
                        inFlight.get(),
                        startedSinceReport.get(),
                        Optional.ofNullable(report)));
    }

    @Override
    public void close() {
        client.close();
    }

    /** Keeps the latest report and drops reports of another incarnation or with an older sequence number. */
    private final class ReportHandler implements FrameHandler {
        @Override
        public void onConnected(Peer peer) {
            String incarnation = peer.hello().getIncarnation();
            LoadReport known = load;
            if (known != null && !known.getAgentIncarnation().equals(incarnation)) {
                load = null;
            }
            if (leavingOnConnect) {
                leavingOnConnect = false;
                leavingIncarnation = incarnation;
            }
            lastIncarnation = incarnation;
        }

        @Override
        public void onFrame(Peer peer, Frame frame) {
            if (!frame.hasLoadReport()) {
                return;
            }
            LoadReport report = frame.getLoadReport();
            String incarnation = peer.hello().getIncarnation();
            LoadReport known = load;
            boolean stale = !report.getAgentIncarnation().equals(incarnation)
                    || known != null
                            && known.getAgentIncarnation().equals(incarnation)
                            && known.getSequence() > report.getSequence();
            if (stale) {
                return;
            }
            load = report;
            startedSinceReport.set(0);
            if (report.getLeaving()) {
                leavingIncarnation = incarnation;
            }
        }
    }
}
