package org.ragwortrun.router.internal.flow;

import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jspecify.annotations.Nullable;
import org.ragwortrun.core.log.Event;
import org.ragwortrun.core.refusal.Refusal;
import org.ragwortrun.router.internal.evidence.EvidenceKey;
import org.ragwortrun.router.internal.request.AdmittedRequest;
import org.ragwortrun.routing.EndpointCandidate;

/** Reports one request: its log event and the evidence for the version that ran it. */
final class RequestReport {
    private static final Logger LOG = LogManager.getLogger(RequestReport.class);

    private final FlowServices services;
    private final AdmittedRequest request;
    private final long startedAt;
    private final LatencyMeter latency = new LatencyMeter();
    private @Nullable EndpointCandidate target;
    private int attempts;
    private long tokens;

    RequestReport(FlowServices services, AdmittedRequest request, long startedAt) {
        this.services = services;
        this.request = request;
        this.startedAt = startedAt;
    }

    void setTarget(EndpointCandidate candidate) {
        target = candidate;
    }

    void countAttempt() {
        attempts++;
    }

    void setTokens(long billed) {
        tokens = billed;
    }

    LatencyMeter latency() {
        return latency;
    }

    int attempts() {
        return attempts;
    }

    /** Returns the endpoint of the latest attempt, empty before the first. */
    String endpoint() {
        EndpointCandidate t = target;
        return t == null ? "" : t.name();
    }

    /** Returns the version of the latest attempt, empty before the first. */
    String version() {
        EndpointCandidate t = target;
        return t == null ? "" : t.version();
    }

    void recordEvidence(boolean succeeded) {
        EndpointCandidate t = target;
        if (t != null) {
            services.evidence()
                    .record(
                            EvidenceKey.of(
                                    request.service().name(), request.route().name(), t),
                            succeeded,
                            latency.latency(services.time().nanos()));
        }
    }

    void log(@Nullable Refusal refusal, int status) {
        Event event = Event.of(refusal == null ? "request-finished" : "request-refused")
                .with("request", request.id())
                .with("account", request.budget().getAccount())
                .with("route", request.route().name())
                .with("endpoint", endpoint())
                .with("version", version())
                .with("attempts", attempts)
                .with("tokens", tokens)
                .with("ms", TimeUnit.NANOSECONDS.toMillis(services.time().nanos() - startedAt));
        if (refusal == null) {
            event.with("status", status).info(LOG);
        } else {
            event.with("reason", refusal.reason().code())
                    .with("run", refusal.run().text())
                    .info(LOG);
        }
    }
}
