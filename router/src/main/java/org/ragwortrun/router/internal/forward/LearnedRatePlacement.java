package org.ragwortrun.router.internal.forward;

import java.util.List;
import java.util.Optional;
import org.ragwortrun.core.config.Origin;

/**
 * Placement by the speeds that this router has learned.
 *
 * @param dataCenter data center of this router
 * @param endpoints source of the age of the endpoints' reports
 * @param performance what this router has learned
 * @param placement decides
 */
record LearnedRatePlacement(
        String dataCenter, EndpointTable endpoints, PerformanceTable performance, LearnedPlacement placement)
        implements EndpointPlacement {
    @Override
    public Optional<EndpointState> choose(
            List<EndpointState> candidates, CallerRequest request, Origin origin, long now) {
        long ageMs = endpoints.ageMs();
        List<EndpointTarget> targets = candidates.stream()
                .map(s -> new EndpointTarget(s, origin, dataCenter, ageMs))
                .toList();
        return placement
                .choose(targets, placed(request, origin), performance.of(origin.name()), now)
                .map(EndpointTarget::state);
    }

    @Override
    public double costMs(EndpointState endpoint, CallerRequest request, Origin origin, long now) {
        EndpointTarget target = new EndpointTarget(endpoint, origin, dataCenter, endpoints.ageMs());
        return placement.costMs(target, placed(request, origin), false, performance.of(origin.name()), now);
    }

    private static LearnedPlacement.Request placed(CallerRequest request, Origin origin) {
        return new LearnedPlacement.Request(
                request.parts(), request.usage().map(TokenUsage::maxTotal).orElse(0L), origin.model());
    }
}
