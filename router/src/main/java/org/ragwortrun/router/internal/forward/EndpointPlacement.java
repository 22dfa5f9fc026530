package org.ragwortrun.router.internal.forward;

import java.util.List;
import java.util.Optional;
import org.ragwortrun.core.config.Origin;

/** Chooses among the endpoints that may get a request. */
interface EndpointPlacement {
    /** Returns the endpoint for a request, or nothing if there is none to choose from. */
    Optional<EndpointState> choose(List<EndpointState> endpoints, CallerRequest request, Origin origin, long now);

    /** Returns the cost of an endpoint for a request in milliseconds. */
    double costMs(EndpointState endpoint, CallerRequest request, Origin origin, long now);
}
