package org.ragwortrun.control.internal;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.ragwortrun.proto.Hello;
import org.ragwortrun.proto.RouterAddress;

/**
 * Selects the routers that other routers may call, to reserve tokens or to get permits.
 *
 * <p>A host with a control member fails or is partitioned together with a replica of the budgets' owner, while other
 * routers should still be able to reserve tokens. Routers on such hosts are selected only if there are no others.
 */
final class ServingRouters {
    private ServingRouters() {}

    /**
     * Returns the selected routers, ordered by name.
     *
     * @param routers connected routers
     * @param members addresses of the control members
     */
    static List<RouterAddress> select(Collection<Hello> routers, Collection<String> members) {
        Set<String> memberHosts = members.stream().map(ServingRouters::host).collect(Collectors.toSet());
        List<Hello> listening =
                routers.stream().filter(r -> !r.getAddress().isEmpty()).toList();
        List<Hello> apart = listening.stream()
                .filter(r -> !memberHosts.contains(host(r.getAddress())))
                .toList();
        return (apart.isEmpty() ? listening : apart)
                .stream()
                        .map(r -> RouterAddress.newBuilder()
                                .setName(r.getName())
                                .setDataCenter(r.getDataCenter())
                                .setAddress(r.getAddress())
                                .build())
                        .sorted(Comparator.comparing(RouterAddress::getName))
                        .distinct()
                        .toList();
    }

    private static String host(String address) {
        return address.substring(0, Math.max(0, address.lastIndexOf(':')));
    }
}
