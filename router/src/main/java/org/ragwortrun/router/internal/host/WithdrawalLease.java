package org.ragwortrun.router.internal.host;

/**
 * Reply of the coordinator of a data center.
 *
 * @param granted whether the router may leave the rotation
 * @param nanos granted time, or the time after which to ask again
 * @param coordinator name of the coordinator
 */
record WithdrawalLease(boolean granted, long nanos, String coordinator) {}
