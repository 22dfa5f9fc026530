package org.ragwortrun.router.internal.forward;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.ragwortrun.core.config.Origin;

/**
 * Chooses the endpoint of an attempt among those that may get one more request now.
 *
 * <p>Endpoints of an allowed version count that are listed, do not leave and want requests, and to which this router has a
 * connection left. Those that are left out for their health count only if there is no other. Used on the event loop.
 */
final class EndpointChoice {
    // Callers are spread unevenly over the routers, and connections that are being closed still count.
    private static final double CONNECTIONS_PART = 0.8;
    private static final int LEAST_CONNECTIONS = 4;

    private final ForwardServices services;
    private final CallerRequest request;
    private final Origin origin;
    private final OriginPicker picker;

    EndpointChoice(ForwardServices services, CallerRequest request, Origin origin) {
        this.services = services;
        this.request = request;
        this.origin = origin;
        picker = new OriginPicker(services.random());
    }

    /**
     * What was chosen.
     *
     * @param endpoint endpoint, if there is one now
     * @param earliest earliest monotonic nanoseconds at which an endpoint wants a request, if some want none now
     * @param allowed number of endpoints that the configuration and the list allow
     */
    record Choice(Optional<EndpointState> endpoint, OptionalLong earliest, int allowed) {}

    /** Chooses among the endpoints that have not been tried. */
    Choice choose(Set<String> tried) {
        List<EndpointState> open = services.endpoints().open(origin.name());
        open.removeIf(s -> tried.contains(s.id()));
        List<EndpointState> allowed = services.configuration()
                .get()
                .map(c -> picker.ofVersion(c, origin.name(), open))
                .orElse(List.of());
        long now = services.time().nanos();
        int most = connectionsEach();
        List<Placement.Candidate> healthy = new ArrayList<>();
        List<Placement.Candidate> others = new ArrayList<>();
        OptionalLong earliest = OptionalLong.empty();
        for (EndpointState s : allowed) {
            long from = s.notices().earliest(now, s.inFlight()).orElse(now);
            if (from - now > 0) {
                earliest = OptionalLong.of(Math.min(from, earliest.orElse(from)));
            } else if (!s.connections().isFull(most)) {
                (s.health().isUsable(now) ? healthy : others).add(candidate(s, now));
            }
        }
        Optional<EndpointState> chosen = Placement.choose(
                        healthy.isEmpty() ? others : healthy, request.parts(), origin.model())
                .flatMap(c -> services.endpoints().find(c.id()));
        return new Choice(chosen, earliest, allowed.size());
    }

    /** Returns how many connections this router may open to each endpoint: its part of what the endpoint accepts. */
    private int connectionsEach() {
        int routers = Math.max(1, services.endpoints().routers());
        return origin.maxConnections() == 0
                ? Integer.MAX_VALUE
                : Math.max(LEAST_CONNECTIONS, (int) (origin.maxConnections() * CONNECTIONS_PART / routers));
    }

    private Placement.Candidate candidate(EndpointState s, long now) {
        int slots = origin.slots() > 0 ? origin.slots() : s.listed().getSlots();
        return new Placement.Candidate(
                s.id(),
                s.inFlight(),
                s.listed().getRunning() + s.listed().getWaiting(),
                slots,
                s.pendingTokens(),
                s.prefixes().cachedTokens(request.parts()),
                s.listed().getDataCenter().equals(services.dataCenter()),
                s.isCold(now));
    }
}
