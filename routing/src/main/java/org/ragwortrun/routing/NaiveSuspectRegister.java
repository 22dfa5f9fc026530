package org.ragwortrun.routing;

import com.google.protobuf.ByteString;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.ragwortrun.proto.CrashReport;

/**
 * Counts the crashes of each digest and request id; a baseline for comparison.
 *
 * <p>Refuses every request that was present at two crashes, whatever their cause, and evicts nothing.
 */
public final class NaiveSuspectRegister implements SuspectRegister {
    private record Id(String account, String requestId) {}

    private final Set<CrashReport> seen = new HashSet<>();
    private final Map<ByteString, Integer> digests = new HashMap<>();
    private final Map<Id, Integer> ids = new HashMap<>();

    @Override
    public void onCrash(CrashReport report) {
        if (seen.add(report)) {
            digests.merge(report.getDigest(), 1, Integer::sum);
            ids.merge(new Id(report.getAccount(), report.getRequestId()), 1, Integer::sum);
        }
    }

    @Override
    public boolean isRefused(ByteString digest) {
        return digests.getOrDefault(digest, 0) >= REFUSAL_THRESHOLD;
    }

    @Override
    public boolean isRefused(String account, String requestId) {
        return ids.getOrDefault(new Id(account, requestId), 0) >= REFUSAL_THRESHOLD;
    }
}
