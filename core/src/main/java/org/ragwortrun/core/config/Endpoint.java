package org.ragwortrun.core.config;

/**
 * An endpoint and the agent beside it.
 *
 * @param name unique name, also the agent's name
 * @param service service that it offers
 * @param version version that it runs
 * @param agentAddress {@code ip:port} of the agent
 * @param url base URL of the endpoint as seen by its agent
 * @param dataCenter data center
 * @param slots requests that it runs at a time
 * @param kvCapacity tokens of KV cache, 0 for plain services
 * @param checksFencing whether it refuses orders that carry an old fencing number
 * @param dedupeHeader request header by which it recognizes a repeated request, empty if it does not
 */
public record Endpoint(
        String name,
        String service,
        String version,
        String agentAddress,
        String url,
        String dataCenter,
        int slots,
        long kvCapacity,
        boolean checksFencing,
        String dedupeHeader) {}
