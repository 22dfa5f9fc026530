package org.ragwortrun.measure.config;

/**
 * The first answer of a router that shows a change in force.
 *
 * @param router name of the router
 * @param change the change
 * @param seenNanos time at which the answer arrived, or the end of the run if there was none
 * @param seen whether there was such an answer
 */
record Arrival(String router, Change change, long seenNanos, boolean seen) {}
