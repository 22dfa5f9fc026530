package org.ragwortrun.routing;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Lets overloaded routers of a data center leave the rotation of the load balancer for a time.
 *
 * <p>At most a third of the known routers are out at the same time, at least two remain, and none may leave while more
 * than half of the routers are overloaded. A coordinator that has
 * restarted or taken over does not know the leases that another one has granted, so it grants none until they have
 * ended. Not thread-safe. Times are monotonic nanoseconds.
 */
public final class WithdrawalCoordinator {
    /** Longest time that a lease lasts. */
    public static final long MAX_LEASE_NANOS = TimeUnit.SECONDS.toNanos(12);

    private static final int PART_OUT = 3;
    private static final int MIN_REMAINING = 2;
    // If more routers than this part are overloaded, a withdrawal only moves load to others that are overloaded too.
    private static final double GENERAL_OVERLOAD = 0.5;
    // Longer than the time after which a refused router asks again.
    private static final long OVERLOADED_NANOS = TimeUnit.SECONDS.toNanos(6);
    private static final long MIN_RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    // Covers two of the longest leases with the pause between them.
    private static final long REMEMBERED_NANOS = TimeUnit.MINUTES.toNanos(1);
    // Several times the number of routers of the largest fleet.
    private static final int MAX_ROUTERS = 2_048;

    private final Map<String, Long> leaseEndsNanos = new HashMap<>();
    private final Map<String, Long> askedNanos = new HashMap<>();
    private boolean responsible;
    private long responsibleSinceNanos;

    /**
     * Answer to a router.
     *
     * @param granted whether the router may leave
     * @param nanos granted time, or the time after which to ask again
     * @param out routers that are out, the asking one included if it may leave
     * @param overloaded routers that have asked lately
     * @param known routers of the data center
     */
    public record Answer(boolean granted, long nanos, int out, int overloaded, int known) {}

    /** Sets whether this router coordinates its data center now. Called at regular intervals and before requests. */
    public void setResponsible(boolean isResponsible, long now) {
        if (isResponsible && !responsible) {
            responsibleSinceNanos = now;
        }
        responsible = isResponsible;
    }

    /**
     * Handles a request.
     *
     * @param nanos requested time, 0 to return a lease
     * @param knownToRouter number of routers that the asking router knows
     * @param listed names of the routers that this router knows
     */
    public Answer request(String router, long nanos, int knownToRouter, Collection<String> listed, long now) {
        leaseEndsNanos.values().removeIf(end -> end - now <= 0);
        askedNanos.values().removeIf(t -> now - t > REMEMBERED_NANOS);
        askedNanos.remove(router);
        if (nanos > 0 && askedNanos.size() < MAX_ROUTERS) {
            askedNanos.put(router, now);
        }
        leaseEndsNanos.remove(router);
        Set<String> names = new HashSet<>(listed);
        names.addAll(askedNanos.keySet());
        int known = Math.max(knownToRouter, names.size());
        int out = leaseEndsNanos.size();
        int overloaded = (int) askedNanos.values().stream()
                .filter(t -> now - t <= OVERLOADED_NANOS)
                .count();
        if (nanos <= 0) {
            return new Answer(true, 0, out, overloaded, known);
        }
        long quiet = responsibleSinceNanos + MAX_LEASE_NANOS - now;
        if (!responsible || quiet > 0) {
            return new Answer(false, Math.max(MIN_RETRY_NANOS, responsible ? quiet : 0), out, overloaded, known);
        }
        if (out >= Math.min(known / PART_OUT, known - MIN_REMAINING)) {
            long next = leaseEndsNanos.values().stream()
                    .mapToLong(end -> end - now)
                    .min()
                    .orElse(MAX_LEASE_NANOS);
            return new Answer(false, Math.max(MIN_RETRY_NANOS, next), out, overloaded, known);
        }
        if (known > MIN_REMAINING && overloaded > GENERAL_OVERLOAD * known) {
            return new Answer(false, OVERLOADED_NANOS / 2, out, overloaded, known);
        }
        long lease = Math.min(nanos, MAX_LEASE_NANOS);
        leaseEndsNanos.put(router, now + lease);
        return new Answer(true, lease, out + 1, overloaded, known);
    }
}
