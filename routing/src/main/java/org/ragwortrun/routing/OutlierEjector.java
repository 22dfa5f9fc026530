package org.ragwortrun.routing;

import java.util.List;

/** Keeps work away from endpoints that do worse than their peers. Must be thread-safe. */
public interface OutlierEjector {
    /**
     * Notes the result of a request. Crashes that a suspect request caused must not be passed.
     *
     * @param latencyNanos time to the first part of the answer
     */
    void onResult(String service, String route, String endpoint, boolean good, long latencyNanos);

    /** Returns the candidates that are not ejected, in their order. */
    List<EndpointCandidate> admissible(List<EndpointCandidate> candidates);
}
