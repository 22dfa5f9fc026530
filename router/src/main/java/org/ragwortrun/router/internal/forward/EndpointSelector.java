package org.ragwortrun.router.internal.forward;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.ragwortrun.core.config.Account;
import org.ragwortrun.core.config.Configuration;
import org.ragwortrun.core.config.Forward;
import org.ragwortrun.core.config.Origin;

/**
 * Selects the endpoint of an attempt among those that may get one more request now.
 *
 * <p>Candidates are the endpoints of an allowed version that are listed, are not leaving, accept requests, and to which
 * this router may open or reuse a connection. Endpoints that are excluded for their health are candidates only if there
 * is no other.
 *
 * <p>While some endpoints have a limit, their requests go to the others. These are not overloaded with them: one that has
 * kept a request of this router waiting for too long accepts no further request. Used on the event loop.
 */
final class EndpointSelector {
    // Leaves room because callers are spread unevenly over the routers and connections that are being closed still
    // count.
    private static final double CONNECTION_SHARE = 0.8;
    private static final int MIN_CONNECTIONS = 4;
    // Time after which a caller may come back if there may be permits that were not asked for.
    private static final long NOT_ASKED_NANOS = 100_000_000L;
    // An endpoint that takes longer than this part of the goal to begin an answer would miss it with another request.
    private static final double MAX_WAIT_PART = 0.5;

    private final ForwardServices services;
    private final CallerRequest request;
    private final Origin origin;
    private final Forward route;
    private final Optional<Account> account;
    private final OriginPicker picker;
    private final long goalNanos;

    EndpointSelector(ForwardServices services, CallerRequest request, Admitted admitted) {
        this.services = services;
        this.request = request;
        origin = admitted.origin();
        route = admitted.route();
        account = admitted.account();
        goalNanos = route.goal().toNanos();
        picker = new OriginPicker(services.random());
    }

    /**
     * Result of a selection.
     *
     * @param endpoint selected endpoint, if one is available now
     * @param earliestNanos earliest monotonic time at which an endpoint accepts a request, if some accept none now
     * @param allowed number of endpoints that the configuration and the list allow
     * @param busy number of them that are full or whose connections are in use
     * @param limited whether any of them has a limit
     */
    record Choice(
            Optional<EndpointState> endpoint, OptionalLong earliestNanos, int allowed, int busy, boolean limited) {
        /** Returns why no endpoint is available now. */
        String cause() {
            if (earliestNanos.isPresent()) {
                return "endpoints-want-time";
            }
            return allowed == 0 ? "no-endpoint" : "connections-in-use";
        }
    }

    /**
     * Selects an endpoint among those that have not been tried.
     *
     * @param mayAskForPermit whether an endpoint with a limit may be selected
     */
    Choice choose(Set<String> tried, boolean mayAskForPermit) {
        List<EndpointState> eligible = services.endpoints().eligible(origin.name());
        eligible.removeIf(s -> tried.contains(s.id()));
        List<EndpointState> allowed = services.configuration()
                .get()
                .map(c -> picker.endpointsOfDrawnVersion(c, origin.name(), permitted(c, eligible)))
                .orElse(List.of());
        long now = services.time().nanos();
        int maxConnections = maxConnectionsPerEndpoint();
        List<Placement.Candidate> healthy = new ArrayList<>();
        List<Placement.Candidate> others = new ArrayList<>();
        OptionalLong earliest = OptionalLong.empty();
        int busy = 0;
        boolean anyLimited = allowed.stream().anyMatch(s -> s.limit().isLimited());
        for (EndpointState s : allowed) {
            long acceptsFrom = s.notices().earliestSendTime(now, s.inFlight()).orElse(now);
            if (anyLimited) {
                acceptsFrom = Math.max(acceptsFrom, hasRoomFrom(s, mayAskForPermit, now));
            }
            if (acceptsFrom - now > 0) {
                earliest = OptionalLong.of(Math.min(acceptsFrom, earliest.orElse(acceptsFrom)));
            } else if (!s.connections().isFull(maxConnections)
                    && services.scheduler().hasRoom(s, origin, now)) {
                (s.health().isUsable(now) ? healthy : others).add(candidate(s, now));
            } else {
                busy++;
            }
        }
        Optional<EndpointState> chosen = Placement.choose(
                        healthy.isEmpty() ? others : healthy, request.parts(), origin.model())
                .flatMap(c -> services.endpoints().find(c.id()));
        return new Choice(chosen, earliest, allowed.size(), busy, anyLimited);
    }

    private List<EndpointState> permitted(Configuration configuration, List<EndpointState> eligible) {
        return eligible.stream()
                .filter(s -> services.filters().stream()
                        .allMatch(f ->
                                f.exclusion(s, configuration, route, account).isEmpty()))
                .toList();
    }

    /** Returns the earliest time at which an endpoint may accept a request while some endpoints have a limit. */
    private long hasRoomFrom(EndpointState s, boolean mayAskForPermit, long now) {
        if (s.limit().isLimited()) {
            long permittedFrom = s.limit().earliestNanos(now);
            return mayAskForPermit ? permittedFrom : Math.max(permittedFrom, now + NOT_ASKED_NANOS);
        }
        return s.longestWaitNanos(now) > MAX_WAIT_PART * goalNanos ? now + goalNanos : now;
    }

    /** Returns how many connections this router may open to each endpoint: its share of what the endpoint accepts. */
    private int maxConnectionsPerEndpoint() {
        int routers = Math.max(1, services.endpoints().routers());
        return origin.maxConnections() == 0
                ? Integer.MAX_VALUE
                : Math.max(MIN_CONNECTIONS, (int) (origin.maxConnections() * CONNECTION_SHARE / routers));
    }

    private Placement.Candidate candidate(EndpointState s, long now) {
        int slots = origin.slots() > 0 ? origin.slots() : s.listed().getSlots();
        return new Placement.Candidate(
                s.id(),
                s.inFlight(),
                s.listed().getRunning() + s.listed().getWaiting(),
                slots,
                s.pendingTokens(),
                s.prefixCache().cachedTokens(request.parts()),
                s.listed().getDataCenter().equals(services.dataCenter()),
                s.isCold(now));
    }
}
