package org.ragwortrun.routing;

import java.util.Optional;
import org.ragwortrun.proto.LoadReport;

/**
 * An endpoint that may receive a request, with what the router knows of its load.
 *
 * @param name name of the endpoint
 * @param agentIncarnation incarnation of the agent beside it
 * @param version version that it runs
 * @param dataCenter data center
 * @param slots requests that it runs at a time
 * @param inFlight requests that this router has running there
 * @param startedSinceReport requests that this router has started there since the latest report
 * @param load latest report of its agent
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
    /** Creates a candidate whose report covers all requests in flight. */
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
