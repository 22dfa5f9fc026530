package org.ragwortrun.agent.internal;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.ragwortrun.proto.CrashReport;
import org.ragwortrun.proto.Dispatch;

/**
 * Crash reports for requests that failed, kept until a health check shows whether the endpoint crashed.
 *
 * <p>All these requests were running on the endpoint when it failed, so each report lists all others as neighbours.
 */
final class PendingCrashReports {
    private final Map<ByteString, CrashReport.Builder> reportsByDigest = new LinkedHashMap<>();
    private int crashes;

    void recordFailure(
            AcceptedRequest failed, String endpoint, String agentIncarnation, List<AcceptedRequest> running) {
        addReport(failed, endpoint, agentIncarnation);
        running.forEach(r -> addReport(r, endpoint, agentIncarnation));
    }

    /** Returns all reports, for an endpoint that crashed, and clears them. */
    List<CrashReport> takeReports() {
        List<CrashReport> reports = new ArrayList<>();
        crashes++;
        reportsByDigest.forEach((digest, report) -> {
            // Distinguishes a second crash with the same request from a resent report.
            report.setCrashes(crashes);
            reportsByDigest.keySet().stream().filter(d -> !d.equals(digest)).forEach(report::addNeighbours);
            reports.add(report.build());
        });
        reportsByDigest.clear();
        return reports;
    }

    void clear() {
        reportsByDigest.clear();
    }

    boolean isEmpty() {
        return reportsByDigest.isEmpty();
    }

    private void addReport(AcceptedRequest request, String endpoint, String agentIncarnation) {
        Dispatch d = request.dispatch();
        reportsByDigest.computeIfAbsent(
                d.getDigest(),
                digest -> CrashReport.newBuilder()
                        .setDigest(digest)
                        .setRequestId(d.getRequestId())
                        .setAccount(d.getBudget().getAccount())
                        .setEndpoint(endpoint)
                        .setAgentIncarnation(agentIncarnation)
                        .addAllPromptParts(request.hasOutput() ? List.of() : d.getPromptPartsList()));
    }
}
