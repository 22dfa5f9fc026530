package org.ragwortrun.router.internal.evidence;

import org.ragwortrun.routing.EndpointCandidate;

/**
 * The key by which evidence is aggregated.
 *
 * @param loadBand load at the endpoint: 0 low, 1 medium, 2 high
 */
public record EvidenceKey(String service, String version, String route, int loadBand) {
    /** Returns the key for a request that runs on an endpoint. */
    public static EvidenceKey of(String service, String route, EndpointCandidate endpoint) {
        int band = LoadBands.of(endpoint.load(), endpoint.slots(), endpoint.inFlight() + 1);
        return new EvidenceKey(service, endpoint.version(), route, band);
    }
}
