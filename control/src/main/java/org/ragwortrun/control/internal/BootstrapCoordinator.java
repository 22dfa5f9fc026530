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
 * Selects the initial members of the groups when no listed host has storage.
 *
 * <p>This happens when the settings of the hosts with disks list only hosts without disks. All hosts can reach the first
 * listed host. It waits until the set of reporting members has been stable for a while and then selects them. It does so
 * once per group and only at the first start of the system, so that no second group is created. Times are monotonic
 * nanoseconds.
 */
final class BootstrapCoordinator {
    // Longer than the third of a second within which the hosts of a new system start.
    static final long STABLE_NANOS = 1_500_000_000L;
    // A report that is not repeated within this time expires; members report twice per election timeout.
    static final long REPORT_VALIDITY_NANOS = 1_500_000_000L;

    private final String self;
    private final List<String> listed;
    private final Map<Integer, Candidates> groups = new HashMap<>();

    /** Members that have reported for one group. */
    private static final class Candidates {
        private final Map<String, Member> unusedMembers = new HashMap<>();
        private final Map<String, Long> lastReportNanos = new HashMap<>();
        private final Set<String> usedMembers = new HashSet<>();
        private List<Member> initialMembers = List.of();
        private long lastChangeNanos;
    }

    /**
     * Creates a coordinator.
     *
     * @param self name of this host
     * @param listed names of the hosts at the first start, empty at later starts
     */
    BootstrapCoordinator(String self, List<String> listed) {
        this.self = self;
        this.listed = List.copyOf(listed);
    }

    /**
     * Records the report of a member and returns the initial members of the group that this member is to create, or an
     * empty list.
     *
     * @param relays listed hosts, other than this one, that are known to have no storage
     */
    List<Member> onRequest(int group, JoinRequest request, Collection<String> relays, long now) {
        Candidates g = groups.computeIfAbsent(group, n -> new Candidates());
        recordReport(g, request, now);
        boolean isCoordinator = !listed.isEmpty()
                && listed.get(0).equals(self)
                && listed.stream().allMatch(n -> n.equals(self) || relays.contains(n));
        if (g.initialMembers.isEmpty()
                && isCoordinator
                && g.usedMembers.isEmpty()
                && now - g.lastChangeNanos >= STABLE_NANOS) {
            g.initialMembers = g.unusedMembers.values().stream()
                    .sorted(Comparator.comparing(Member::getName))
                    .toList();
        }
        boolean first = !g.initialMembers.isEmpty()
                && g.initialMembers
                        .get(0)
                        .getIdentity()
                        .equals(request.getMember().getIdentity());
        return first ? g.initialMembers : List.of();
    }

    private static void recordReport(Candidates g, JoinRequest request, long now) {
        Member member = request.getMember();
        if (!request.getUnused()) {
            g.usedMembers.add(member.getName());
        }
        boolean expired = g.lastReportNanos.entrySet().removeIf(e -> now - e.getValue() > REPORT_VALIDITY_NANOS);
        g.unusedMembers.keySet().retainAll(g.lastReportNanos.keySet());
        g.lastReportNanos.put(member.getName(), now);
        if (expired || !member.equals(g.unusedMembers.put(member.getName(), member))) {
            g.lastChangeNanos = now;
        }
    }
}
