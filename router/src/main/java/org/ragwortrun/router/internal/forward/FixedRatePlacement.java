package org.ragwortrun.router.internal.forward;

import java.util.List;
import java.util.Optional;
import org.ragwortrun.core.config.Origin;

/**
 * Placement that assumes that all endpoints of an origin are equally fast.
 *
 * @param dataCenter data center of this router
 */
record FixedRatePlacement(String dataCenter) implements EndpointPlacement {
    @Override
    public Optional<EndpointState> choose(
            List<EndpointState> endpoints, CallerRequest request, Origin origin, long now) {
        List<Placement.Candidate> candidates =
                endpoints.stream().map(s -> candidate(s, request, origin, now)).toList();
        return Placement.choose(candidates, request.parts(), origin.model())
                .flatMap(c ->
                        endpoints.stream().filter(s -> s.id().equals(c.id())).findFirst());
    }

    @Override
    public double costMs(EndpointState endpoint, CallerRequest request, Origin origin, long now) {
        return Placement.cost(candidate(endpoint, request, origin, now), request.parts(), origin.model());
    }

    private Placement.Candidate candidate(EndpointState s, CallerRequest request, Origin origin, long now) {
        EndpointTarget target = new EndpointTarget(s, origin, dataCenter, 0);
        return new Placement.Candidate(
                target.id(),
                target.inFlight(),
                target.reported(),
                target.slots(),
                target.pendingTokens(),
                target.cachedTokens(request.parts()),
                target.sameDataCenter(),
                target.isCold(now));
    }
}
