package org.ragwortrun.core.config;

/**
 * An endpoint and its agent.
 *
 * @param name unique name, also the agent's name
 * @param service service that it offers
 * @param version version that it runs
 * @param agentAddress {@code ip:port} of the agent
 * @param url base URL of the endpoint as seen by its agent
 * @param dataCenter data center
 * @param slots maximum number of concurrent requests
 * @param kvCapacity tokens of KV cache, 0 for plain services
 * @param checksFencing whether it refuses requests with an old fencing number
 * @param dedupeHeader request header by which it recognizes duplicate requests, empty if it has none
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
