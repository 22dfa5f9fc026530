package org.ragwortrun.router.internal.forward;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.function.BiConsumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.ragwortrun.core.log.Event;
import org.ragwortrun.core.metrics.Metrics;
import org.ragwortrun.core.time.Time;

/**
 * Tells the crash of an endpoint from a lost answer: an endpoint that breaks off a request and refuses the next
 * connection has crashed. Used on the event loop.
 */
final class CrashDetector {
    private static final Logger LOG = LogManager.getLogger(CrashDetector.class);

    private final CrashSuspects suspects;
    private final BiConsumer<String, List<ByteString>> reports;
    private final Metrics metrics;
    private final Time time;

    /**
     * Creates a detector.
     *
     * @param reports takes the id of a crashed endpoint and what is suspected of the crash
     */
    CrashDetector(CrashSuspects suspects, BiConsumer<String, List<ByteString>> reports, Metrics metrics, Time time) {
        this.suspects = suspects;
        this.reports = reports;
        this.metrics = metrics;
        this.time = time;
    }

    /** Notes that an endpoint has broken off a request, and checks whether it still takes connections. */
    void broken(EndpointState endpoint, RequestContent content) {
        if (endpoint.broken().add(content.digest())) {
            endpoint.connections().check(() -> alive(endpoint), cause -> unreachable(endpoint, cause));
        }
    }

    private static void alive(EndpointState endpoint) {
        log(endpoint, "connected", endpoint.broken().endCheck());
    }

    private void unreachable(EndpointState endpoint, String cause) {
        endpoint.health().onUnreachable(time.nanos());
        List<ByteString> contents = endpoint.broken().endCheck();
        log(endpoint, cause, contents);
        if (EndpointConnections.REFUSED.equals(cause)) {
            crashed(endpoint, contents);
        }
    }

    private static void log(EndpointState endpoint, String outcome, List<ByteString> contents) {
        Event.of("endpoint-checked")
                .with("endpoint", endpoint.id())
                .with("outcome", outcome)
                .with("broken-off", contents.size())
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
