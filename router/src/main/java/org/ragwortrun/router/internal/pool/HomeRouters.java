package org.ragwortrun.router.internal.pool;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Chooses the home routers of a client account, at which all routers reserve its tokens.
 *
 * <p>Without homes, an account whose requests arrive at many routers, a few at each, has its budget split over all of
 * them. Each grant is then too small for a single request, especially while the owner of the budget cannot be reached,
 * and the rest of the budget is held by routers that do not need it. Only one router in each data center is a home, so
 * that every router needs few connections. Each account ranks these homes: the first one is used, the next ones replace
 * it if it fails.
 */
public final class HomeRouters {
    // With fewer routers, each one receives enough requests of an account to use a grant of its own.
    private static final int MIN_ROUTERS = 12;

    private HomeRouters() {}

    /** Returns whether accounts have homes; otherwise each router uses its own grants. */
    static boolean areUsed(Collection<RouterPeer> routers) {
        return routers.size() >= MIN_ROUTERS;
    }

    /** Returns the homes of an account in order of preference. Empty if each router should use its own grants. */
    public static List<RouterPeer> of(String account, Collection<RouterPeer> routers) {
        return areUsed(routers) ? ranked(account, routers) : List.of();
    }

    /** Returns one router in each data center, ranked by a key. The routers are the same for all keys. */
    static List<RouterPeer> ranked(String key, Collection<RouterPeer> routers) {
        Map<String, List<RouterPeer>> byDataCenter = routers.stream()
                .collect(Collectors.groupingBy(RouterPeer::dataCenter, TreeMap::new, Collectors.toList()));
        return byDataCenter.entrySet().stream()
                .map(e -> firstRanked(e.getValue(), e.getKey()))
                .sorted(rank(key).reversed())
                .toList();
    }

    private static RouterPeer firstRanked(List<RouterPeer> peers, String key) {
        return peers.stream().max(rank(key)).orElseThrow();
    }

    static Comparator<RouterPeer> rank(String key) {
        return Comparator.comparingInt((RouterPeer p) ->
                        MurmurHash3.hash32(key.hashCode(), p.name().hashCode()))
                .thenComparing(RouterPeer::name);
    }
}
