package org.ragwortrun.measure.fleet;

import java.util.List;

/**
 * Specification of an endpoint of the fleet and its agent.
 *
 * @param name name of the endpoint and of its agent
 * @param service service that it provides
 * @param version version that it runs
 * @param kind {@code engine} or {@code service}
 * @param dataCenter data center
 * @param standinOptions additional command-line arguments of the stand-in
 */
public record EndpointSpec(
        String name, String service, String version, String kind, String dataCenter, List<String> standinOptions) {}
