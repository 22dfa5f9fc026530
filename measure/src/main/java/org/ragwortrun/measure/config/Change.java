package org.ragwortrun.measure.config;

/**
 * A change of the configuration that has been acknowledged.
 *
 * @param number number of the change and of the route that it adds
 * @param ackNanos time at which the acknowledgement arrived
 */
record Change(int number, long ackNanos) {}
