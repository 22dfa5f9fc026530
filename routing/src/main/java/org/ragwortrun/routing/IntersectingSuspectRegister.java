package org.ragwortrun.routing;

import com.google.protobuf.ByteString;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.ragwortrun.proto.CrashReport;

/**
 * Refuses the digests that several crashes have in common.
 *
 * <p>All reports of one crash contain the same set of digests and count as one crash. A crash at which a refused digest
 * was present is attributed to that digest and does not count against the others.
 */
public final class IntersectingSuspectRegister implements SuspectRegister {
    // A report lists at most the requests of one endpoint; a longer list is malformed.
    private static final int MAX_NEIGHBOURS = 4_096;

    private final Map<CrashKey, Crash> crashes;
    private final Map<ByteString, Integer> suspects;
    private final Map<Id, Integer> ids;
    private final Map<ByteString, Boolean> refused;
    private final Map<Id, Boolean> refusedIds;

    /**
     * Creates a register.
     *
     * @param bound maximum number each of crashes, suspects, refused digests and ids; the oldest are evicted first
     */
    public IntersectingSuspectRegister(int bound) {
        crashes = new Bounded<>(bound);
        suspects = new Bounded<>(bound);
        ids = new Bounded<>(bound);
        refused = new Bounded<>(bound);
        refusedIds = new Bounded<>(bound);
    }

    @Override
    public void onCrash(CrashReport report) {
        Set<ByteString> present = present(report);
        CrashKey key = new CrashKey(report.getEndpoint(), report.getAgentIncarnation(), present);
        Id id = new Id(report.getAccount(), report.getRequestId());
        Crash crash = crashes.get(key);
        if (crash == null || crash.isLaterCrash(report.getDigest(), id)) {
            crash = new Crash(recordCrash(present));
            crashes.put(key, crash);
        }
        if (crash.reporters.put(report.getDigest(), id) == null && !crash.attributed) {
            count(ids, refusedIds, id);
        }
    }

    @Override
    public boolean isRefused(ByteString digest) {
        return refused.containsKey(digest);
    }

    @Override
    public boolean isRefused(String account, String requestId) {
        return refusedIds.containsKey(new Id(account, requestId));
    }

    /** Counts a new crash and returns whether it is attributed to a digest that is already refused. */
    private boolean recordCrash(Set<ByteString> present) {
        if (present.stream().anyMatch(refused::containsKey)) {
            return true;
        }
        present.forEach(d -> count(suspects, refused, d));
        return false;
    }

    private static <K> void count(Map<K, Integer> counts, Map<K, Boolean> refused, K key) {
        if (counts.merge(key, 1, Integer::sum) >= REFUSAL_THRESHOLD) {
            counts.remove(key);
            refused.put(key, true);
        }
    }

    private static Set<ByteString> present(CrashReport report) {
        Set<ByteString> present = new HashSet<>();
        present.add(report.getDigest());
        Iterator<ByteString> neighbours = report.getNeighboursList().iterator();
        while (neighbours.hasNext() && present.size() <= MAX_NEIGHBOURS) {
            present.add(neighbours.next());
        }
        return present;
    }

    private record Id(String account, String requestId) {}

    private record CrashKey(String endpoint, String agentIncarnation, Set<ByteString> present) {}

    private static final class Crash {
        private final boolean attributed;
        private final Map<ByteString, Id> reporters = new HashMap<>();

        Crash(boolean attributed) {
            this.attributed = attributed;
        }

        /** Returns whether a report belongs to a later crash: each crash has one report per digest. */
        boolean isLaterCrash(ByteString digest, Id id) {
            Id reporter = reporters.get(digest);
            return reporter != null && !reporter.equals(id);
        }
    }

    private static final class Bounded<K, V> extends LinkedHashMap<K, V> {
        private static final long serialVersionUID = 1L;

        private final int bound;

        Bounded(int bound) {
            this.bound = bound;
        }

        @Override
        protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
            return size() > bound;
        }
    }
}
