package org.ragwortrun.router.internal.evidence;

/**
 * What evidence is pooled by.
 *
 * @param loadBand 0 low, 1 middle, 2 high load at the endpoint
 */
public record EvidenceKey(String service, String version, String route, int loadBand) {}
