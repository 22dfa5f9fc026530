package org.ragwortrun.router.internal.evidence;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.ragwortrun.net.TransportException;
import org.ragwortrun.net.control.ControlClient;
import org.ragwortrun.proto.Evidence;
import org.ragwortrun.proto.EvidenceRow;
import org.ragwortrun.proto.Frame;

/** Counts outcomes and latencies for each version and sends them to the meta leader. */
public final class EvidenceCollector implements Runnable {
    private static final int META_GROUP = 0;
    private static final Duration TIMEOUT = Duration.ofMillis(900);

    private final ControlClient control;
    private Map<EvidenceKey, EvidenceRow.Builder> rows = new HashMap<>();

    /** Creates a collector that sends its counts on each run. */
    public EvidenceCollector(ControlClient control) {
        this.control = control;
    }

    /**
     * Counts a request that succeeded or failed at an endpoint.
     *
     * @param latency latency of the request, empty if it is not representative of the endpoint
     */
    public synchronized void record(EvidenceKey key, boolean succeeded, Optional<Duration> latency) {
        EvidenceRow.Builder row = row(key);
        row.setRequests(row.getRequests() + 1).setFailures(row.getFailures() + (succeeded ? 0 : 1));
        if (succeeded && latency.isPresent()) {
            addLatency(row, latency.get());
        }
    }

    /** Records the latency of a request that is still running. Its end is counted without a latency. */
    public synchronized void recordLatency(EvidenceKey key, Duration latency) {
        addLatency(row(key), latency);
    }

    private static void addLatency(EvidenceRow.Builder row, Duration latency) {
        double log = Math.log(Math.max(1, latency.toNanos() / 1_000));
        row.setLogLatencySum(row.getLogLatencySum() + log)
                .setLogLatencySquareSum(row.getLogLatencySquareSum() + log * log)
                .setLatencyCount(row.getLatencyCount() + 1);
    }

    @Override
    public void run() {
        Map<EvidenceKey, EvidenceRow.Builder> sent = takeRows();
        if (sent.isEmpty()) {
            return;
        }
        Evidence.Builder evidence = Evidence.newBuilder();
        sent.values().forEach(evidence::addRows);
        control.call(META_GROUP, Frame.newBuilder().setEvidence(evidence), TIMEOUT)
                .whenComplete((reply, failure) -> {
                    // After any other failure the leader may have counted the rows, and a retry could count them twice.
                    boolean notSent =
                            failure instanceof TransportException e && e.kind() == TransportException.Kind.NOT_SENT;
                    if (notSent) {
                        restore(sent);
                    }
                });
    }

    private synchronized Map<EvidenceKey, EvidenceRow.Builder> takeRows() {
        Map<EvidenceKey, EvidenceRow.Builder> taken = rows;
        rows = new HashMap<>();
        return taken;
    }

    private synchronized void restore(Map<EvidenceKey, EvidenceRow.Builder> sent) {
        sent.forEach((key, old) -> {
            EvidenceRow.Builder row = row(key);
            row.setRequests(row.getRequests() + old.getRequests())
                    .setFailures(row.getFailures() + old.getFailures())
                    .setLogLatencySum(row.getLogLatencySum() + old.getLogLatencySum())
                    .setLogLatencySquareSum(row.getLogLatencySquareSum() + old.getLogLatencySquareSum())
                    .setLatencyCount(row.getLatencyCount() + old.getLatencyCount());
        });
    }

    private EvidenceRow.Builder row(EvidenceKey key) {
        return rows.computeIfAbsent(
                key,
                k -> EvidenceRow.newBuilder()
                        .setService(k.service())
                        .setVersion(k.version())
                        .setRoute(k.route())
                        .setLoadBand(k.loadBand()));
    }
}
