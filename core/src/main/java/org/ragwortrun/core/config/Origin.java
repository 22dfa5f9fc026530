package org.ragwortrun.core.config;

/**
 * A service whose endpoints routers call directly, without agents. Its endpoints come from the platform's list.
 *
 * @param name unique name
 * @param model whether its endpoints are language-model engines that meter tokens
 * @param healthPath path of its health check
 * @param maxConnections connections that one endpoint accepts from all routers together
 * @param slots requests that one endpoint runs at a time, 0 if the list of endpoints states it
 * @param kvCapacity tokens of KV cache of one endpoint, 0 if unknown
 * @param tokensPerEvent output tokens that one event of a stream holds at most
 */
public record Origin(
        String name,
        boolean model,
        String healthPath,
        int maxConnections,
        int slots,
        long kvCapacity,
        int tokensPerEvent) {}
