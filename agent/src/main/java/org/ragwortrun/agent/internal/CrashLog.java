package org.ragwortrun.agent.internal;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.ragwortrun.proto.CrashReport;
import org.ragwortrun.proto.Dispatch;

/**
 * Requests that failed together, until a health check tells whether the endpoint crashed.
 *
 * <p>All of them were on the endpoint when it went down, so each report names all others as neighbours.
 */
final class CrashLog {
    private final Map<ByteString, CrashReport.Builder> failed = new LinkedHashMap<>();
    private int crashes;

    void failed(Dispatch dispatch, String endpoint, String agentIncarnation, List<Dispatch> running) {
        note(dispatch, endpoint, agentIncarnation);
        running.forEach(d -> note(d, endpoint, agentIncarnation));
    }

    /** Returns the reports if the endpoint crashed, and starts anew. */
    List<CrashReport> take() {
        List<CrashReport> reports = new ArrayList<>();
        crashes++;
        failed.forEach((digest, report) -> {
            // Tells a second crash by the same request from a report that is sent again.
            report.setCrashes(crashes);
            failed.keySet().stream().filter(d -> !d.equals(digest)).forEach(report::addNeighbours);
            reports.add(report.build());
        });
        failed.clear();
        return reports;
    }

    void clear() {
        failed.clear();
    }

    boolean isEmpty() {
        return failed.isEmpty();
    }

    private void note(Dispatch d, String endpoint, String agentIncarnation) {
        failed.computeIfAbsent(
                d.getDigest(),
                digest -> CrashReport.newBuilder()
                        .setDigest(digest)
                        .setRequestId(d.getRequestId())
                        .setAccount(d.getBudget().getAccount())
                        .setEndpoint(endpoint)
                        .setAgentIncarnation(agentIncarnation));
    }
}
