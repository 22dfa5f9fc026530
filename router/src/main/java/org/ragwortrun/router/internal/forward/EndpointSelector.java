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
 * kept a request of this router waiting for too long accepts no further request. An endpoint with a ramp gets the requests
 * that the ramp permits, and if it is not cold, also those that no other endpoint can serve. Used on the event loop.
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
     * @param lastResort whether no other endpoint can serve the request, so that it needs no permit by a ramp
     * @param earliestNanos earliest monotonic time at which an endpoint accepts a request, if some accept none now
     * @param allowed number of endpoints that the configuration and the list allow
     * @param busy number of them that are full or whose connections are in use
     * @param limited whether any of them has a limit
     */
    record Choice(
            Optional<EndpointState> endpoint,
            boolean lastResort,
            OptionalLong earliestNanos,
            int allowed,
            int busy,
            boolean limited) {
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
     * @param mayAskForPermit whether an endpoint with a limit or a ramp may be selected
     */
    Choice choose(Set<String> tried, boolean mayAskForPermit) {
        List<EndpointState> eligible = services.endpoints().eligible(origin);
        eligible.removeIf(s -> tried.contains(s.id()));
        List<EndpointState> allowed = services.configuration()
                .get()
                .map(c -> picker.endpointsOfDrawnVersion(c, origin.name(), permitted(c, eligible)))
                .orElse(List.of());
        long now = services.time().nanos();
        int maxConnections = maxConnectionsPerEndpoint();
        List<EndpointState> healthy = new ArrayList<>();
        List<EndpointState> others = new ArrayList<>();
        List<EndpointState> withoutPermit = new ArrayList<>();
        OptionalLong earliest = OptionalLong.empty();
        int busy = 0;
        boolean anyLimited = allowed.stream().anyMatch(s -> s.limit().isLimited());
        for (EndpointState s : allowed) {
            long acceptsFrom = s.notices().earliestSendTime(now, s.inFlight()).orElse(now);
            boolean paused = acceptsFrom - now > 0;
            if (anyLimited || s.limit().needsPermit(now)) {
                acceptsFrom = Math.max(acceptsFrom, hasRoomFrom(s, mayAskForPermit, now));
            }
            boolean full = s.connections().isFull(maxConnections)
                    || !services.scheduler().hasRoom(s, origin, now);
            if (acceptsFrom - now <= 0) {
                if (full) {
                    busy++;
                } else {
                    (s.isUsable(now) ? healthy : others).add(s);
                }
            } else if (!paused
                    && !full
                    && s.limit().needsPermit(now)
                    && s.limit().allowsLastResort(now)) {
                withoutPermit.add(s);
            } else {
                earliest = OptionalLong.of(Math.min(acceptsFrom, earliest.orElse(acceptsFrom)));
            }
        }
        boolean lastResort = healthy.isEmpty() && others.isEmpty();
        List<EndpointState> candidates = lastResort ? withoutPermit : healthy.isEmpty() ? others : healthy;
        Optional<EndpointState> chosen = services.placement().choose(candidates, request, origin, now);
        return new Choice(chosen, lastResort, earliest, allowed.size(), busy, anyLimited);
    }

    /**
     * Returns whether a selected endpoint still accepts the request when it is about to be sent, which may be some time
     * after the selection because a connection had to be opened. The request already counts as in flight.
     *
     * @param permitted whether the request has a permit
     * @param selectedNanos monotonic time at which the endpoint was selected
     */
    boolean stillAccepts(EndpointState endpoint, boolean permitted, long selectedNanos) {
        long now = services.time().nanos();
        return endpoint.isEligible()
                && endpoint.limit().maySend(permitted, selectedNanos, now)
                && services.configuration()
                        .get()
                        .filter(c -> isPermitted(c, endpoint))
                        .isPresent()
                && endpoint.notices().earliestSendTime(now, endpoint.inFlight() - 1).stream()
                        .anyMatch(from -> from - now <= 0);
    }

    private List<EndpointState> permitted(Configuration configuration, List<EndpointState> eligible) {
        eligible.removeIf(s -> !isPermitted(configuration, s));
        return eligible;
    }

    // A loop is cheaper than a stream, and this runs for each endpoint in each selection.
    private boolean isPermitted(Configuration configuration, EndpointState endpoint) {
        for (EndpointFilter f : services.filters()) {
            if (f.exclusion(endpoint, configuration, route, account).isPresent()) {
                return false;
            }
        }
        return true;
    }

    /** Returns the earliest time at which an endpoint may accept a request while some endpoints have a limit or a ramp. */
    private long hasRoomFrom(EndpointState s, boolean mayAskForPermit, long now) {
        if (s.limit().needsPermit(now)) {
            long permittedFrom = s.limit().earliestNanos(now);
            return mayAskForPermit ? permittedFrom : Math.max(permittedFrom, now + NOT_ASKED_NANOS);
        }
        return s.longestWaitNanos(now) > MAX_WAIT_PART * goalNanos ? now + goalNanos : now;
    }

    /** Returns how many connections this router may open to each endpoint: its share of what the endpoint accepts. */
    int maxConnectionsPerEndpoint() {
        int routers = Math.max(1, services.endpoints().routers());
        return origin.maxConnections() == 0
                ? Integer.MAX_VALUE
                : Math.max(MIN_CONNECTIONS, (int) (origin.maxConnections() * CONNECTION_SHARE / routers));
    }
}
