package org.ragwortrun.router.internal.evidence;

import org.ragwortrun.routing.EndpointCandidate;

/**
 * What evidence is pooled by.
 *
 * @param loadBand 0 low, 1 middle, 2 high load at the endpoint
 */
public record EvidenceKey(String service, String version, String route, int loadBand) {
    /** Returns the key of a request that an endpoint runs. */
    public static EvidenceKey of(String service, String route, EndpointCandidate endpoint) {
        int band = LoadBands.of(endpoint.load(), endpoint.slots(), endpoint.inFlight() + 1);
        return new EvidenceKey(service, endpoint.version(), route, band);
    }
}
