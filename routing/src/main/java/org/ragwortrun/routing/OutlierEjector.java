package org.ragwortrun.routing;

import java.util.List;

/** Ejects endpoints that perform worse than their peers. Must be thread-safe. */
public interface OutlierEjector {
    /**
     * Records the result of a request. Crashes caused by a suspect request must not be passed.
     *
     * @param success whether the request succeeded
     * @param latencyNanos time to the first part of the answer
     */
    void onResult(String service, String route, String endpoint, boolean success, long latencyNanos);

    /** Returns the candidates that are not ejected, in their order. */
    List<EndpointCandidate> excludeEjected(List<EndpointCandidate> candidates);
}
