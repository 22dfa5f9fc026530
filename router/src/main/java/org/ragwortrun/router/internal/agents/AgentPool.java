package org.ragwortrun.router.internal.agents;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Predicate;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.ragwortrun.core.config.Configuration;
import org.ragwortrun.core.config.Endpoint;
import org.ragwortrun.core.log.Event;
import org.ragwortrun.core.time.Time;
import org.ragwortrun.net.Address;
import org.ragwortrun.net.AddressException;
import org.ragwortrun.net.Transport;
import org.ragwortrun.routing.EndpointCandidate;

/** Connections to the agents of all endpoints in the configuration. */
public final class AgentPool implements AutoCloseable {
    private static final Logger LOG = LogManager.getLogger(AgentPool.class);

    private final Transport transport;
    private final Time time;
    private final Map<String, AgentLink> links = new ConcurrentHashMap<>();
    private final List<AgentLink> retired = new ArrayList<>();

    public AgentPool(Transport transport, Time time) {
        this.transport = transport;
        this.time = time;
    }

    /** Connects to endpoints that were added or whose address changed, and retires the links of removed endpoints. */
    public synchronized void apply(Configuration configuration) {
        for (AgentLink link : List.copyOf(links.values())) {
            String name = link.endpoint().name();
            Optional<Endpoint> now = configuration.endpoint(name);
            if (now.isPresent()
                    && now.get().agentAddress().equals(link.endpoint().agentAddress())) {
                link.update(now.get());
            } else {
                links.remove(name);
                retired.add(link);
            }
        }
        configuration.endpoints().stream()
                .filter(e -> !links.containsKey(e.name()))
                .forEach(this::connect);
    }

    /** Closes retired links without running requests. */
    public synchronized void closeRetired() {
        retired.removeIf(link -> {
            boolean idle = link.isIdle();
            if (idle) {
                link.close();
            }
            return idle;
        });
    }

    /** Returns the link to the agent of an endpoint. */
    public Optional<AgentLink> link(String endpoint) {
        return Optional.ofNullable(links.get(endpoint));
    }

    /**
     * Returns the endpoints of a version that may receive new requests, except the excluded ones.
     *
     * @param permitted returns whether an endpoint may get the request, whatever its state
     */
    public List<EndpointCandidate> candidates(
            Configuration configuration,
            String service,
            String version,
            Set<String> excluded,
            Predicate<Endpoint> permitted) {
        return configuration.endpointsOf(service).stream()
                .filter(e -> e.version().equals(version))
                .filter(permitted)
                .filter(e -> !excluded.contains(e.name()))
                .flatMap(e -> link(e.name()).stream())
                .flatMap(l -> l.candidate().stream())
                .toList();
    }

    /** Marks the endpoints as leaving whose name or whose agent's IP address is one of the given hosts. */
    public void markLeaving(Set<String> hosts) {
        links.values().stream()
                .filter(l -> hosts.contains(l.endpoint().name())
                        || hosts.contains(hostOf(l.endpoint().agentAddress())))
                .forEach(AgentLink::markLeaving);
    }

    @Override
    public synchronized void close() {
        links.values().forEach(AgentLink::close);
        retired.forEach(AgentLink::close);
        links.clear();
        retired.clear();
    }

    private void connect(Endpoint endpoint) {
        try {
            Address address = Address.parse(endpoint.agentAddress());
            links.put(endpoint.name(), new AgentLink(transport, endpoint, address, time));
        } catch (AddressException e) {
            Event.of("agent-address-invalid").with("endpoint", endpoint.name()).warn(LOG, e);
        }
    }

    private static String hostOf(String address) {
        int colon = address.lastIndexOf(':');
        return colon < 0 ? address : address.substring(0, colon);
    }
}
