package org.ragwortrun.measure.config;

/**
 * An answer of a router for a route that an acknowledged change has dropped.
 *
 * @param router name of the router
 * @param change change that dropped the route
 * @param sentNanos time at which the request was sent
 * @param answeredNanos time at which the answer arrived
 * @param served whether the router still followed the route
 */
record DroppedRoute(String router, Change change, long sentNanos, long answeredNanos, boolean served) {}
