package org.ragwortrun.routing;

/**
 * Parts of a warm-up rate that those who can permit requests at the same time may use.
 *
 * <p>Operators tolerate 1.5 times the rate and 5 requests in any second. Not all routers need to reach the same
 * coordinator, so the parts of a preferred one, of its replacement, and of the routers that reach neither add up. A permit
 * may be used up to 0.2 s after it was granted, so that up to 1.2 seconds' worth of permits can arrive within one second, and
 * a router without a coordinator keeps a permit for a quarter of a second. The sum is
 * 1.2 x (0.9 + 0.15) + 1.35 x 0.15 = 1.47 times the rate, and two unused permits of each coordinator.
 */
public final class ColdShares {
    /** Part that the preferred coordinator grants. */
    public static final double PREFERRED = 0.9;

    /** Part that another coordinator grants while the preferred one may still do so. */
    public static final double REPLACEMENT = 0.15;

    /** Part that all routers together use which reach no coordinator, while others may reach one. */
    public static final double UNREACHABLE = 0.15;

    /** Part that all routers together use while no coordinator is known. */
    public static final double NO_COORDINATOR = 0.5;

    /** Unused permits that a coordinator keeps. */
    public static final double MAX_UNUSED = 2;

    /** Time after which the answer to a request for permits is too late. */
    public static final long MAX_REPLY_AGE_NANOS = 100_000_000L;

    /** Time for which a request with a permit may wait for its connection. */
    public static final long MAX_CONNECT_NANOS = 100_000_000L;

    /** Time for which a router without a coordinator keeps an unused permit. */
    public static final long VALIDITY_NANOS = 250_000_000L;

    private ColdShares() {}

    /** Returns the part of a coordinator that may use a share of other limits, 1 if it is the preferred one. */
    static double ofCoordinator(double share) {
        return share < 1 ? REPLACEMENT : PREFERRED;
    }
}
