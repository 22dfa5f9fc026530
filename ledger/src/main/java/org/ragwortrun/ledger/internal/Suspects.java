package org.ragwortrun.ledger.internal;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import org.ragwortrun.core.id.Digests;
import org.ragwortrun.proto.CrashReport;

/**
 * Requests during which endpoints crashed, by content digest.
 *
 * <p>Each crash counts once, however often it is reported. An agent reports every request that shared the endpoint. A
 * crash at which a refused digest was present is explained by it and does not count against the others.
 */
public final class Suspects {
    /** Crashes after which a request is refused for good. */
    public static final int REFUSED_AFTER = 2;

    private static final int MOST = 10_000;

    private Versioned<CrashReport> reports = new Versioned<>();
    private Versioned<CrashReport> counted = new Versioned<>();

    /** Counts a crash under the next configuration number and tells whether it was new. */
    public boolean count(CrashReport report, long nextNumber) {
        String digest = Digests.hex(report.getDigest().toByteArray());
        String crash = String.join(
                "\n",
                digest,
                report.getRequestId(),
                report.getEndpoint(),
                report.getAgentIncarnation(),
                Integer.toString(report.getCrashes()));
        if (counted.find(crash).isPresent()) {
            return false;
        }
        if (isExplained(report)) {
            return false;
        }
        int crashes = reports.find(digest).map(CrashReport::getCrashes).orElse(0) + 1;
        counted.put(crash, CrashReport.getDefaultInstance(), nextNumber);
        counted.trim(MOST);
        reports.put(
                digest,
                report.toBuilder()
                        .setCrashes(crashes)
                        .setRefused(crashes >= REFUSED_AFTER)
                        .build(),
                nextNumber);
        reports.trim(MOST);
        return true;
    }

    private boolean isExplained(CrashReport report) {
        return report.getNeighboursList().stream()
                .map(n -> reports.find(Digests.hex(n.toByteArray())))
                .anyMatch(known -> known.map(CrashReport::getRefused).orElse(false));
    }

    public Optional<CrashReport> find(byte[] digest) {
        return reports.find(Digests.hex(digest));
    }

    public List<CrashReport> changedAfter(long number) {
        return reports.changedAfter(number);
    }

    public void write(SnapshotWriter out) throws IOException {
        reports.write(out);
        counted.write(out);
    }

    public static Suspects read(SnapshotReader in) throws IOException {
        Suspects s = new Suspects();
        s.reports = Versioned.read(in, CrashReport.parser());
        s.counted = Versioned.read(in, CrashReport.parser());
        return s;
    }
}
