package org.ragwortrun.measure.config;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.ragwortrun.core.concurrent.Closer;
import org.ragwortrun.measure.answers.MemberMain;
import org.ragwortrun.measure.answers.RouterMain;
import org.ragwortrun.measure.fleet.Fleet;
import org.ragwortrun.measure.fleet.FleetException;
import org.ragwortrun.measure.fleet.FleetOptions;
import org.ragwortrun.net.Address;
import org.ragwortrun.standins.FaultProxy;

/** Control members, and routers that reach each of them by a proxy of their own. */
final class ConfigFleet implements AutoCloseable {
    private static final String HOST = "127.0.0.1";
    private static final int SHARDS = 1;
    private static final int STEADY_ROUTERS = 2;

    private final Closer closer = new Closer();
    private final Fleet fleet;
    private final Map<String, List<FaultProxy>> links = new LinkedHashMap<>();
    private final OriginServers origins;
    private final List<String> members;

    /** Adds the processes without starting them. */
    ConfigFleet(int memberCount, int routerCount) throws FleetException, IOException {
        fleet = closer.register(new Fleet(SHARDS, FleetOptions.DEPLOYED));
        origins = closer.register(new OriginServers(fleet));
        fleet.setMemberProgram(MemberMain.class.getName(), origins.routerArguments());
        fleet.addControls(memberCount);
        members = IntStream.rangeClosed(1, memberCount).mapToObj(i -> "c" + i).toList();
        for (int i = 1; i <= routerCount; i++) {
            addRouter("r" + i, "dc" + (1 + i % memberCount));
        }
    }

    private void addRouter(String name, String dataCenter) throws FleetException, IOException {
        List<FaultProxy> proxies = new ArrayList<>();
        List<String> addresses = new ArrayList<>();
        for (String member : members) {
            FaultProxy proxy =
                    closer.register(FaultProxy.start(HOST, fleet.freePort(), HOST, fleet.controlPort(member)));
            proxies.add(proxy);
            addresses.add(member + "=" + proxy.address());
        }
        links.put(name, List.copyOf(proxies));
        fleet.addForwardingRouter(
                name, dataCenter, RouterMain.class.getName(), origins.routerArguments(), String.join(", ", addresses));
    }

    Fleet processes() {
        return fleet;
    }

    /** Returns the names of the initial members. */
    List<String> members() {
        return members;
    }

    Map<String, Address> memberAddresses() {
        return addresses(members);
    }

    /** Returns the addresses of members that have been added. */
    Map<String, Address> addresses(Collection<String> names) {
        return names.stream().collect(Collectors.toMap(m -> m, m -> new Address(HOST, fleet.controlPort(m))));
    }

    List<String> routers() {
        return List.copyOf(links.keySet());
    }

    /** Returns the routers that are disturbed. */
    List<String> disturbedRouters() {
        List<String> all = routers();
        return all.subList(0, all.size() - STEADY_ROUTERS);
    }

    /** Returns the other routers, whose links are only delayed. */
    List<String> steadyRouters() {
        List<String> all = routers();
        return all.subList(all.size() - STEADY_ROUTERS, all.size());
    }

    /** Returns the links of a router to the initial members. */
    List<FaultProxy> links(String router) {
        return links.getOrDefault(router, List.of());
    }

    @Override
    public void close() {
        closer.close();
    }
}
