package org.ragwortrun.core.config;

/**
 * A service whose endpoints routers call directly, without agents. Its endpoints come from the platform's list.
 *
 * @param name unique name
 * @param model whether its endpoints are language-model servers that count tokens
 * @param healthPath path of its health check
 * @param maxConnections maximum number of connections that one endpoint accepts from all routers together
 * @param slots maximum number of concurrent requests of one endpoint, 0 if the list of endpoints specifies it
 * @param kvCapacity tokens of KV cache of one endpoint, 0 if unknown
 * @param tokensPerEvent maximum number of output tokens in one event of a stream
 */
public record Origin(
        String name,
        boolean model,
        String healthPath,
        int maxConnections,
        int slots,
        long kvCapacity,
        int tokensPerEvent) {}
