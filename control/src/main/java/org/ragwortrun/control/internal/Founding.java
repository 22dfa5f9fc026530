package org.ragwortrun.control.internal;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.ragwortrun.proto.JoinRequest;
import org.ragwortrun.proto.Member;

/**
 * Names the first members of the groups when no listed host has storage.
 *
 * <p>The situation it answers: the hosts with disks are told of three hosts without, and of nobody else. The first
 * listed host, which all can reach, waits until the members that report have been the same for a while, and names them.
 * It does so once for each group in its life and only at the first start of the system, so that no second group is
 * founded. Times are monotonic nanoseconds.
 */
final class Founding {
    // Hosts of a new system start within a third of a second of each other.
    static final long STABLE_NANOS = 1_500_000_000L;
    // A report must be repeated within this time to count; members ask twice in an election timeout.
    static final long REPORT_NANOS = 1_500_000_000L;

    private final String self;
    private final List<String> listed;
    private final Map<Integer, Group> groups = new HashMap<>();

    /** What is known about one group. */
    private static final class Group {
        private final Map<String, Member> unused = new HashMap<>();
        private final Map<String, Long> heard = new HashMap<>();
        private final Set<String> used = new HashSet<>();
        private List<Member> named = List.of();
        private long changed;
    }

    /**
     * Creates the rule.
     *
     * @param self name of this host
     * @param listed names of the hosts of the first start, empty if this is a later one
     */
    Founding(String self, List<String> listed) {
        this.self = self;
        this.listed = List.copyOf(listed);
    }

    /**
     * Takes the report of a member and returns the members of the group that it is to found, or nobody.
     *
     * @param relays listed hosts that are known to have no storage, besides this one
     */
    List<Member> onRequest(int group, JoinRequest request, Collection<String> relays, long now) {
        Group g = groups.computeIfAbsent(group, n -> new Group());
        note(g, request, now);
        boolean mine = !listed.isEmpty()
                && listed.get(0).equals(self)
                && listed.stream().allMatch(n -> n.equals(self) || relays.contains(n));
        if (g.named.isEmpty() && mine && g.used.isEmpty() && now - g.changed >= STABLE_NANOS) {
            g.named = g.unused.values().stream()
                    .sorted(Comparator.comparing(Member::getName))
                    .toList();
        }
        boolean first = !g.named.isEmpty()
                && g.named.get(0).getIdentity().equals(request.getMember().getIdentity());
        return first ? g.named : List.of();
    }

    private static void note(Group g, JoinRequest request, long now) {
        Member member = request.getMember();
        if (!request.getUnused()) {
            g.used.add(member.getName());
        }
        boolean silent = g.heard.entrySet().removeIf(e -> now - e.getValue() > REPORT_NANOS);
        g.unused.keySet().retainAll(g.heard.keySet());
        g.heard.put(member.getName(), now);
        if (silent || !member.equals(g.unused.put(member.getName(), member))) {
            g.changed = now;
        }
    }
}
