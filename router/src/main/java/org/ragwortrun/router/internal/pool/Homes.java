package org.ragwortrun.router.internal.pool;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Chooses the routers at which the tokens of a client account are reserved.
 *
 * <p>The load it answers: an account whose requests come in at many routers, a few at each. Grants that are split over
 * all of them are too small for a single request, above all while the owner cannot be reached, and what is left of the
 * budget is held where nobody asks for it. One router in each data center is a home, so that every router has few
 * connections; each account has its home among these, and the others in the order in which they take its place.
 */
public final class Homes {
    // With fewer routers each sees enough of an account's requests to hold a useful grant itself.
    private static final int LEAST_ROUTERS = 12;

    private Homes() {}

    /** Tells whether accounts have homes, or each router uses its own grants. */
    static boolean areUsed(Collection<RouterPeer> routers) {
        return routers.size() >= LEAST_ROUTERS;
    }

    /** Returns the homes of an account, the first choice first. Empty if each router should use its own grants. */
    public static List<RouterPeer> of(String account, Collection<RouterPeer> routers) {
        if (!areUsed(routers)) {
            return List.of();
        }
        Map<String, List<RouterPeer>> byDataCenter = routers.stream()
                .collect(Collectors.groupingBy(RouterPeer::dataCenter, TreeMap::new, Collectors.toList()));
        return byDataCenter.entrySet().stream()
                .map(e -> first(e.getValue(), e.getKey()))
                .sorted(rank(account).reversed())
                .toList();
    }

    private static RouterPeer first(List<RouterPeer> peers, String key) {
        return peers.stream().max(rank(key)).orElseThrow();
    }

    private static Comparator<RouterPeer> rank(String key) {
        return Comparator.comparingInt((RouterPeer p) ->
                        MurmurHash3.hash32(key.hashCode(), p.name().hashCode()))
                .thenComparing(RouterPeer::name);
    }
}
