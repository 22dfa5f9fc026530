package org.ragwortrun.core.config;

import java.time.Duration;

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
 * @param warmUp time for which an endpoint is cold after its start
 * @param warmUpRate requests per second that a cold endpoint tolerates from all routers together, 0 for no limit
 */
public record Origin(
        String name,
        boolean model,
        String healthPath,
        int maxConnections,
        int slots,
        long kvCapacity,
        int tokensPerEvent,
        Duration warmUp,
        double warmUpRate) {

    /** Returns whether the requests to a cold endpoint are limited. */
    public boolean limitsWarmUp() {
        return warmUpRate > 0;
    }
}
