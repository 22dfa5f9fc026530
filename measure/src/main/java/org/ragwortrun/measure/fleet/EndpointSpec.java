package org.ragwortrun.measure.fleet;

import java.util.List;

/**
 * An endpoint of the fleet with its agent.
 *
 * @param name name of endpoint and agent
 * @param service service that it offers
 * @param version version that it runs
 * @param kind {@code engine} or {@code service}
 * @param dataCenter data center
 * @param standinOptions further arguments of the stand-in
 */
public record EndpointSpec(
        String name, String service, String version, String kind, String dataCenter, List<String> standinOptions) {}
