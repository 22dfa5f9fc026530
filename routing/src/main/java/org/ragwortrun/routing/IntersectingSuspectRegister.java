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
 * Blames the digests that several crashes have in common.
 *
 * <p>All reports of one crash name the same set of digests and count as one crash. A crash on which a refused digest
 * was present is explained by that digest and blames no other.
 */
public final class IntersectingSuspectRegister implements SuspectRegister {
    // A report names at most the requests of one endpoint; more would be a malformed report.
    private static final int MOST_NEIGHBOURS = 4_096;

    private final Map<Scene, Crash> crashes;
    private final Map<ByteString, Integer> suspects;
    private final Map<Id, Integer> ids;
    private final Map<ByteString, Boolean> refused;
    private final Map<Id, Boolean> refusedIds;

    /**
     * Creates a register.
     *
     * @param bound most crashes, suspects, refused digests and ids to remember, each; the oldest are forgotten first
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
        Scene scene = new Scene(report.getEndpoint(), report.getAgentIncarnation(), present);
        Id id = new Id(report.getAccount(), report.getRequestId());
        Crash crash = crashes.get(scene);
        if (crash == null || crash.isAnother(report.getDigest(), id)) {
            crash = new Crash(blame(present));
            crashes.put(scene, crash);
        }
        if (crash.reporters.put(report.getDigest(), id) == null && !crash.explained) {
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

    /** Counts a new crash and returns whether it is explained by a digest that is refused already. */
    private boolean blame(Set<ByteString> present) {
        if (present.stream().anyMatch(refused::containsKey)) {
            return true;
        }
        present.forEach(d -> count(suspects, refused, d));
        return false;
    }

    private static <K> void count(Map<K, Integer> counts, Map<K, Boolean> refused, K key) {
        if (counts.merge(key, 1, Integer::sum) >= REFUSED_AFTER) {
            counts.remove(key);
            refused.put(key, true);
        }
    }

    private static Set<ByteString> present(CrashReport report) {
        Set<ByteString> present = new HashSet<>();
        present.add(report.getDigest());
        Iterator<ByteString> neighbours = report.getNeighboursList().iterator();
        while (neighbours.hasNext() && present.size() <= MOST_NEIGHBOURS) {
            present.add(neighbours.next());
        }
        return present;
    }

    private record Id(String account, String requestId) {}

    private record Scene(String endpoint, String agentIncarnation, Set<ByteString> present) {}

    private static final class Crash {
        private final boolean explained;
        private final Map<ByteString, Id> reporters = new HashMap<>();

        Crash(boolean explained) {
            this.explained = explained;
        }

        /** Returns whether a report belongs to a later crash: each digest is reported once for each crash. */
        boolean isAnother(ByteString digest, Id id) {
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
