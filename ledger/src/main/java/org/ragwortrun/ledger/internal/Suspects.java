package org.ragwortrun.ledger.internal;

import com.google.protobuf.ByteString;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import org.ragwortrun.core.id.Digests;
import org.ragwortrun.proto.CrashEvidence;
import org.ragwortrun.proto.CrashReport;
import org.ragwortrun.proto.EndpointCrash;

/**
 * Requests during which endpoints crashed, by content digest.
 *
 * <p>Each crash counts once, however often it is reported. An agent reports every request that shared the endpoint; a
 * router reports those that it had sent itself. A crash at which a refused digest was present is explained by it and does
 * not count against the others.
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

    /**
     * Counts the crashes that a router saw under the next configuration number, and tells whether there is more to refuse.
     */
    public boolean count(CrashEvidence evidence, long nextNumber, long nowMs) {
        String name = evidence.getReporter() + '\n' + evidence.getSequence();
        if (counted.find(name).isPresent()) {
            return false;
        }
        counted.put(name, CrashReport.getDefaultInstance(), nextNumber);
        counted.trim(MOST);
        boolean more = false;
        for (EndpointCrash crash : evidence.getCrashesList()) {
            for (ByteString digest : blamed(crash.getDigestsList())) {
                more |= blame(digest, crash.getEndpoint(), nextNumber, nowMs);
            }
        }
        reports.trim(MOST);
        return more;
    }

    private List<ByteString> blamed(List<ByteString> present) {
        List<ByteString> known = present.stream().filter(this::isRefused).toList();
        return known.isEmpty() ? present : known;
    }

    private boolean blame(ByteString digest, String endpoint, long nextNumber, long nowMs) {
        String name = Digests.hex(digest.toByteArray());
        int crashes = reports.find(name).map(CrashReport::getCrashes).orElse(0) + 1;
        CrashReport report = CrashReport.newBuilder()
                .setDigest(digest)
                .setEndpoint(endpoint)
                .setCrashes(crashes)
                .setRefused(crashes >= REFUSED_AFTER)
                .setLastCrashMs(nowMs)
                .build();
        reports.put(name, report, nextNumber);
        return report.getRefused();
    }

    private boolean isExplained(CrashReport report) {
        return report.getNeighboursList().stream().anyMatch(this::isRefused);
    }

    private boolean isRefused(ByteString digest) {
        return find(digest.toByteArray()).map(CrashReport::getRefused).orElse(false);
    }

    public Optional<CrashReport> find(byte[] digest) {
        return reports.find(Digests.hex(digest));
    }

    /** Returns what has become refused, or has crashed once more, after a number. */
    public List<CrashReport> refusedAfter(long number) {
        return reports.changedAfter(number).stream()
                .filter(CrashReport::getRefused)
                .toList();
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
