package org.ragwortrun.router.internal.forward;

import com.google.protobuf.ByteString;
import io.netty.channel.EventLoop;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.ragwortrun.core.log.Event;
import org.ragwortrun.core.metrics.Metrics;
import org.ragwortrun.core.time.Time;
import org.ragwortrun.router.internal.evidence.EvidenceCollector;
import org.ragwortrun.router.internal.evidence.EvidenceKey;
import org.ragwortrun.router.internal.forward.BrokenRequests.Broken;

/**
 * Tells the crash of an endpoint from a lost answer: an endpoint that breaks off a request and refuses the next
 * connection has crashed. Used on the event loop.
 */
final class CrashDetector {
    private static final Logger LOG = LogManager.getLogger(CrashDetector.class);

    // The connections of a crashed endpoint end one after the other.
    private static final long SETTLE_MS = 50;

    private final CrashSuspects suspects;
    private final BiConsumer<String, List<ByteString>> reports;
    private final EvidenceCollector evidence;
    private final Metrics metrics;
    private final Time time;
    private final EventLoop loop;

    /**
     * Creates a detector.
     *
     * @param reports takes the id of a crashed endpoint and what is suspected of the crash
     * @param evidence takes the failures of versions
     */
    CrashDetector(
            CrashSuspects suspects,
            BiConsumer<String, List<ByteString>> reports,
            EvidenceCollector evidence,
            Metrics metrics,
            Time time,
            EventLoop loop) {
        this.suspects = suspects;
        this.reports = reports;
        this.evidence = evidence;
        this.metrics = metrics;
        this.time = time;
        this.loop = loop;
    }

    /** Notes that an endpoint has broken off a request, and checks whether it still takes connections. */
    void broken(EndpointState endpoint, RequestContent content, EvidenceKey failure) {
        if (endpoint.broken().add(content.digest(), failure)) {
            endpoint.connections().check(() -> alive(endpoint), cause -> unreachable(endpoint, cause));
        }
    }

    private void alive(EndpointState endpoint) {
        Broken broken = endpoint.broken().endCheck();
        log(endpoint, "connected", broken);
        failed(broken.failures());
    }

    private void unreachable(EndpointState endpoint, String cause) {
        endpoint.health().onUnreachable(time.nanos());
        loop.schedule(() -> judge(endpoint, cause), SETTLE_MS, TimeUnit.MILLISECONDS);
    }

    private void judge(EndpointState endpoint, String cause) {
        Broken broken = endpoint.broken().endCheck();
        log(endpoint, cause, broken);
        if (EndpointConnections.REFUSED.equals(cause)) {
            // The requests of one crash did not fail independently of each other, so it counts as one failure.
            failed(broken.failures().subList(0, 1));
            crashed(endpoint, broken.contents());
        } else {
            failed(broken.failures());
        }
    }

    private void failed(List<EvidenceKey> failures) {
        failures.forEach(f -> evidence.record(f, false, Optional.empty()));
    }

    private static void log(EndpointState endpoint, String outcome, Broken broken) {
        Event.of("endpoint-checked")
                .with("endpoint", endpoint.id())
                .with("outcome", outcome)
                .with("broken-off", broken.failures().size())
                .info(LOG);
    }

    private void crashed(EndpointState endpoint, List<ByteString> contents) {
        List<ByteString> suspected = suspects.crashed(contents);
        metrics.count("endpoint_crashes", 1);
        Event.of("endpoint-crashed")
                .with("endpoint", endpoint.id())
                .with("broken-off", contents.size())
                .with("suspected", suspected.size())
                .info(LOG);
        if (!suspected.isEmpty()) {
            reports.accept(endpoint.id(), suspected);
        }
    }
}
