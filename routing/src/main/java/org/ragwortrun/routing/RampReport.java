package org.ragwortrun.routing;

/**
 * What a router or coordinator knows about the ramp of an endpoint.
 *
 * @param perSecond requests per second that all routers together may send now, 0 if unknown
 * @param warmUpPerSecond upper bound of the rate while the endpoint is cold, 0 if the sender does not hold it for cold
 * @param warmUpMs time for which the endpoint stays cold as the sender has seen it, 0 if it only suspects so
 */
public record RampReport(double perSecond, double warmUpPerSecond, long warmUpMs) {}
