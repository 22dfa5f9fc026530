package org.ragwortrun.router.internal.forward;

import com.google.protobuf.ByteString;
import io.netty.channel.EventLoop;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.ragwortrun.core.log.Event;
import org.ragwortrun.core.metrics.Metrics;
import org.ragwortrun.core.time.Time;
import org.ragwortrun.proto.EndpointCrash;
import org.ragwortrun.proto.SuspectedParts;
import org.ragwortrun.router.internal.evidence.EvidenceCollector;
import org.ragwortrun.router.internal.evidence.EvidenceKey;
import org.ragwortrun.router.internal.evidence.PartQuarantine;
import org.ragwortrun.router.internal.forward.InterruptedRequests.Interrupted;

/**
 * Distinguishes the crash of an endpoint from a lost answer.
 *
 * <p>An endpoint that interrupts a request and refuses the next connection has crashed. Used on the event loop.
 */
final class CrashDetector {
    private static final Logger LOG = LogManager.getLogger(CrashDetector.class);

    // The connections of a crashed endpoint close one after the other, so the check waits for the last ones.
    private static final long SETTLE_DELAY_MS = 50;

    private final ContentQuarantine quarantine;
    private final PartQuarantine partQuarantine;
    private final Consumer<EndpointCrash> reports;
    private final EvidenceCollector evidence;
    private final Metrics metrics;
    private final Time time;
    private final EventLoop loop;

    /**
     * Creates a detector.
     *
     * @param reports receives crashed endpoints with the contents and parts of prompts suspected of the crash
     * @param evidence receives the failures of versions
     */
    CrashDetector(
            ContentQuarantine quarantine,
            PartQuarantine partQuarantine,
            Consumer<EndpointCrash> reports,
            EvidenceCollector evidence,
            Metrics metrics,
            Time time,
            EventLoop loop) {
        this.quarantine = quarantine;
        this.partQuarantine = partQuarantine;
        this.reports = reports;
        this.evidence = evidence;
        this.metrics = metrics;
        this.time = time;
        this.loop = loop;
    }

    /**
     * Records that an endpoint has interrupted a request, and checks whether it still accepts connections.
     *
     * @param unansweredParts digests of the parts of its prompt if its answer had not begun, otherwise empty
     */
    void onInterrupted(
            EndpointState endpoint, RequestContent content, EvidenceKey failure, List<ByteString> unansweredParts) {
        if (endpoint.interruptedRequests().add(content.digest(), failure, unansweredParts)) {
            endpoint.connections().checkReachable(() -> onReachable(endpoint), cause -> onUnreachable(endpoint, cause));
        }
    }

    private void onReachable(EndpointState endpoint) {
        Interrupted interrupted = endpoint.interruptedRequests().endCheck();
        log(endpoint, "connected", interrupted);
        recordFailures(interrupted.failures());
    }

    private void onUnreachable(EndpointState endpoint, String cause) {
        endpoint.outcomes().onUnreachable(cause, time.nanos());
        loop.schedule(() -> evaluate(endpoint, cause), SETTLE_DELAY_MS, TimeUnit.MILLISECONDS);
    }

    private void evaluate(EndpointState endpoint, String cause) {
        Interrupted interrupted = endpoint.interruptedRequests().endCheck();
        log(endpoint, cause, interrupted);
        if (EndpointConnectionPool.REFUSED.equals(cause)) {
            // The requests of one crash did not fail independently, so the crash counts as one failure.
            recordFailures(interrupted.failures().subList(0, 1));
            onCrash(endpoint, interrupted);
        } else {
            recordFailures(interrupted.failures());
        }
    }

    private void recordFailures(List<EvidenceKey> failures) {
        failures.forEach(f -> evidence.record(f, false, Optional.empty()));
    }

    private static void log(EndpointState endpoint, String outcome, Interrupted interrupted) {
        Event.of("endpoint-checked")
                .with("endpoint", endpoint.id())
                .with("outcome", outcome)
                .with("broken-off", interrupted.failures().size())
                .info(LOG);
    }

    private void onCrash(EndpointState endpoint, Interrupted interrupted) {
        List<ByteString> suspected = quarantine.onCrash(interrupted.contents());
        List<SuspectedParts> suspectedParts = partQuarantine.onCrash(endpoint.id(), interrupted.unansweredParts());
        metrics.count("endpoint_crashes", 1);
        Event.of("endpoint-crashed")
                .with("endpoint", endpoint.id())
                .with("broken-off", interrupted.contents().size())
                .with("suspected", suspected.size())
                .with("suspected-prompts", suspectedParts.size())
                .info(LOG);
        if (!suspected.isEmpty() || !suspectedParts.isEmpty()) {
            reports.accept(EndpointCrash.newBuilder()
                    .setEndpoint(endpoint.id())
                    .addAllDigests(suspected)
                    .addAllRequests(suspectedParts)
                    .build());
        }
    }
}
