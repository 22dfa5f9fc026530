package org.ragwortrun.measure.config;

/**
 * An answer of a router that a route of an acknowledged change does not exist.
 *
 * @param router name of the router
 * @param change change that added the route
 * @param sentNanos time at which the request was sent
 * @param answeredNanos time at which the answer arrived
 * @param status status code
 */
record Denial(String router, Change change, long sentNanos, long answeredNanos, int status) {}
