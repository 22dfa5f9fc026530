package org.ragwortrun.core.config;

import java.time.Duration;

/**
 * A path under which callers reach a service.
 *
 * @param name unique name
 * @param service service to which requests are sent
 * @param path exact path of a model route, path prefix of a plain route
 * @param repeatable whether a request may run more than once
 * @param price tokens charged for each call of a plain service
 * @param maxOutput limit of output tokens for requests that specify none
 * @param priority lower numbers go first
 * @param deadline maximum duration of a request
 */
public record Route(
        String name,
        String service,
        String path,
        boolean repeatable,
        long price,
        long maxOutput,
        int priority,
        Duration deadline) {}
