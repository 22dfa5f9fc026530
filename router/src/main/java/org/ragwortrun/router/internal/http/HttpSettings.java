package org.ragwortrun.router.internal.http;

import java.time.Duration;

/**
 * Limits of the HTTP front.
 *
 * @param threads IO threads
 * @param maxConnections most open connections; one more is closed at once
 * @param maxBody largest request body in bytes
 * @param bodyMemory most bytes of request bodies at a time
 * @param headTimeout time in which a request head must arrive
 * @param bodyTimeout time in which a request body must arrive
 * @param idleTimeout time after which an idle connection is closed
 */
public record HttpSettings(
        int threads,
        int maxConnections,
        int maxBody,
        long bodyMemory,
        Duration headTimeout,
        Duration bodyTimeout,
        Duration idleTimeout) {}
