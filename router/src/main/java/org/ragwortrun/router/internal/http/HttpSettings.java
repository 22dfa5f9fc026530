package org.ragwortrun.router.internal.http;

import java.time.Duration;

/**
 * Limits of the HTTP server.
 *
 * @param threads IO threads
 * @param maxConnections maximum number of open connections; further ones are closed at once
 * @param maxBody largest request body in bytes
 * @param bodyMemory maximum number of bytes of all request bodies that are in memory
 * @param headTimeout maximum time for a request head to arrive
 * @param bodyTimeout maximum time for a request body to arrive
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
