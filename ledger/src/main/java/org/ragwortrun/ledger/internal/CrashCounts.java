package org.ragwortrun.ledger.internal;

import com.google.protobuf.ByteString;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import org.ragwortrun.core.id.Digests;
import org.ragwortrun.ledger.PartCrashes;
import org.ragwortrun.proto.CrashEvidence;
import org.ragwortrun.proto.CrashReport;
import org.ragwortrun.proto.EndpointCrash;
import org.ragwortrun.proto.SuspectedParts;

/**
 * Counts the endpoint crashes during requests, by content digest of the request and by the parts of its prompt.
 *
 * <p>Each crash counts once, even if it is reported repeatedly. An agent reports every request on the crashed endpoint; a
 * router reports only the requests that it sent. If a refused digest was running during a crash, the crash is attributed
 * to that digest and does not count against the others.
 */
public final class CrashCounts {
    /** Number of crashes from which a request is refused. */
    public static final int REFUSED_AFTER = 2;

    private static final int MAX_ENTRIES = 10_000;

    private VersionedMap<CrashReport> reports = new VersionedMap<>();
    private VersionedMap<CrashReport> counted = new VersionedMap<>();

    /**
     * Counts a crash that an agent observed under the next configuration number, and returns whether daemons need an
     * update.
     */
    public boolean count(CrashReport report, long nextNumber, long nowMs) {
        boolean contentCounted = countContent(report, nextNumber);
        EndpointCrash crash = EndpointCrash.newBuilder()
                .setEndpoint(report.getEndpoint())
                .addRequests(SuspectedParts.newBuilder().addAllParts(report.getPromptPartsList()))
                .build();
        return countParts(crash, nextNumber, nowMs) || contentCounted;
    }

    private boolean countContent(CrashReport report, long nextNumber) {
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
        if (hasRefusedNeighbour(report)) {
            return false;
        }
        int crashes = reports.find(digest).map(CrashReport::getCrashes).orElse(0) + 1;
        counted.put(crash, CrashReport.getDefaultInstance(), nextNumber);
        counted.trim(MAX_ENTRIES);
        reports.put(
                digest,
                report.toBuilder()
                        .clearPromptParts()
                        .setCrashes(crashes)
                        .setRefused(crashes >= REFUSED_AFTER)
                        .build(),
                nextNumber);
        reports.trim(MAX_ENTRIES);
        return true;
    }

    /**
     * Counts the crashes that a router observed under the next configuration number, and returns whether daemons need an
     * update because a refused digest was added, has crashed again or was cleared.
     */
    public boolean count(CrashEvidence evidence, long nextNumber, long nowMs) {
        String name = evidence.getReporter() + '\n' + evidence.getSequence();
        if (counted.find(name).isPresent()) {
            return false;
        }
        counted.put(name, CrashReport.getDefaultInstance(), nextNumber);
        counted.trim(MAX_ENTRIES);
        boolean refused = false;
        for (EndpointCrash crash : evidence.getCrashesList()) {
            for (ByteString digest : suspectedDigests(crash.getDigestsList())) {
                refused |= countCrash(digest, crash.getEndpoint(), nextNumber, nowMs);
            }
            refused |= countParts(crash, nextNumber, nowMs);
        }
        for (ByteString part : evidence.getAnsweredPartsList()) {
            refused |= clear(part, nextNumber);
        }
        reports.trim(MAX_ENTRIES);
        return refused;
    }

    /** Counts the parts of prompts suspected of a crash, and returns whether a quarantined one is among them. */
    private boolean countParts(EndpointCrash crash, long nextNumber, long nowMs) {
        boolean quarantined = false;
        for (CrashReport report : PartCrashes.count(crash, p -> find(p.toByteArray()), nowMs)) {
            put(report, nextNumber);
            quarantined |= report.getRefused();
        }
        return quarantined;
    }

    /** Releases a part of prompts that was answered, and returns whether daemons need an update. */
    private boolean clear(ByteString part, long nextNumber) {
        if (find(part.toByteArray()).filter(r -> r.getPart() && !r.getCleared()).isEmpty()) {
            return false;
        }
        put(PartCrashes.cleared(part), nextNumber);
        reports.all().stream()
                .filter(r -> r.getCompanionsList().contains(part))
                .forEach(r -> put(PartCrashes.withoutCompanion(r, part), nextNumber));
        return true;
    }

    private void put(CrashReport report, long number) {
        reports.put(Digests.hex(report.getDigest().toByteArray()), report, number);
    }

    private List<ByteString> suspectedDigests(List<ByteString> present) {
        List<ByteString> refused = present.stream().filter(this::isRefused).toList();
        return refused.isEmpty() ? present : refused;
    }

    private boolean countCrash(ByteString digest, String endpoint, long nextNumber, long nowMs) {
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

    private boolean hasRefusedNeighbour(CrashReport report) {
        return report.getNeighboursList().stream().anyMatch(this::isRefused);
    }

    private boolean isRefused(ByteString digest) {
        return find(digest.toByteArray()).map(CrashReport::getRefused).orElse(false);
    }

    public Optional<CrashReport> find(byte[] digest) {
        return reports.find(Digests.hex(digest));
    }

    /** Returns the digests that were refused, crashed again or were cleared after a configuration number. */
    public List<CrashReport> refusedAfter(long number) {
        return reports.changedAfter(number).stream()
                .filter(r -> r.getRefused() || r.getCleared())
                .toList();
    }

    public void write(SnapshotWriter out) throws IOException {
        reports.write(out);
        counted.write(out);
    }

    public static CrashCounts read(SnapshotReader in) throws IOException {
        CrashCounts s = new CrashCounts();
        s.reports = VersionedMap.read(in, CrashReport.parser());
        s.counted = VersionedMap.read(in, CrashReport.parser());
        return s;
    }
}
