package org.ragwortrun.routing;

import java.util.Optional;
import org.ragwortrun.proto.LoadReport;

/**
 * An endpoint that may receive a request, with its load as known to the router.
 *
 * @param name name of the endpoint
 * @param agentIncarnation incarnation of its agent
 * @param version version that it runs
 * @param dataCenter data center
 * @param slots requests that it can run concurrently
 * @param inFlight requests from this router that it is running
 * @param startedSinceReport requests that this router has sent to it since its latest load report
 * @param load latest load report of its agent
 */
public record EndpointCandidate(
        String name,
        String agentIncarnation,
        String version,
        String dataCenter,
        int slots,
        int inFlight,
        int startedSinceReport,
        Optional<LoadReport> load) {
    /** Creates a candidate whose load report covers all requests in flight. */
    public EndpointCandidate(
            String name,
            String agentIncarnation,
            String version,
            String dataCenter,
            int slots,
            int inFlight,
            Optional<LoadReport> load) {
        this(name, agentIncarnation, version, dataCenter, slots, inFlight, 0, load);
    }
}
