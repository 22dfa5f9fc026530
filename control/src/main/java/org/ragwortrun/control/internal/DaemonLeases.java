package org.ragwortrun.control.internal;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.ragwortrun.core.time.Time;
import org.ragwortrun.proto.DaemonState;
import org.ragwortrun.proto.Hello;
import org.ragwortrun.proto.Role;

/**
 * The configuration leases that this member has granted as leader of the meta group.
 *
 * <p>A daemon counts its lease from the time at which it sent its confirmation, and the leader from the time at which
 * the confirmation arrived. Used by one thread.
 */
public final class DaemonLeases {
    // Clock rates may differ by up to a tenth, so a lease lasts longer here than at the daemon.
    private static final double CLOCK_RATE_MARGIN = 1.1;
    // A daemon without a lease stays listed for this long, so that an operator sees which ones are gone.
    private static final long EXPIRED_RETENTION_NANOS = TimeUnit.MINUTES.toNanos(10);

    private final Time time;
    private final Duration lease;
    private final long leaseNanos;
    private final Map<String, Entry> byIncarnation = new LinkedHashMap<>();
    private long startedNanos;

    public DaemonLeases(Time time, Duration lease) {
        this.time = time;
        this.lease = lease;
        leaseNanos = (long) (lease.toNanos() * CLOCK_RATE_MARGIN);
        startedNanos = time.nanos();
    }

    /** Starts a leadership term. Leases granted by an earlier leader are unknown and may still be valid. */
    public void startTerm() {
        byIncarnation.clear();
        startedNanos = time.nanos();
    }

    /**
     * Records a confirmation.
     *
     * @param current current configuration number, read under the leader's lease
     * @return the lease that the daemon gets; zero while it has not applied the current number
     */
    public Duration confirm(Hello daemon, long confirmed, long current) {
        Entry entry = byIncarnation.computeIfAbsent(daemon.getIncarnation(), k -> new Entry(daemon));
        entry.seenNanos = time.nanos();
        entry.confirmed = Math.max(entry.confirmed, confirmed);
        if (confirmed < current) {
            return Duration.ZERO;
        }
        entry.leased = true;
        entry.endNanos = time.nanos() + leaseNanos;
        return lease;
    }

    /** Returns whether no daemon can still use a configuration older than the number. */
    public boolean inForce(long number) {
        return predecessorLeasesEnded() && awaitedDaemons(number).isEmpty();
    }

    /** Returns whether every lease that an earlier leader may have granted has expired. */
    public boolean predecessorLeasesEnded() {
        return time.nanos() - startedNanos >= leaseNanos;
    }

    /** Returns the names of the daemons that hold a lease and have not confirmed the number. */
    public List<String> awaitedDaemons(long number) {
        return byIncarnation.values().stream()
                .filter(e -> e.confirmed < number && isLeased(e))
                .map(e -> e.hello.getName())
                .distinct()
                .sorted()
                .toList();
    }

    /** Returns the known daemons, after removing those that have no lease and were last seen over ten minutes ago. */
    public List<DaemonState> states() {
        long now = time.nanos();
        byIncarnation.values().removeIf(e -> !isLeased(e) && now - e.seenNanos > EXPIRED_RETENTION_NANOS);
        List<DaemonState> states = new ArrayList<>();
        for (Entry e : byIncarnation.values()) {
            states.add(DaemonState.newBuilder()
                    .setName(e.hello.getName())
                    .setRole(role(e.hello))
                    .setIncarnation(e.hello.getIncarnation())
                    .setDataCenter(e.hello.getDataCenter())
                    .setConfigNumber(e.confirmed)
                    .setLeaseValid(isLeased(e))
                    .build());
        }
        return states;
    }

    private boolean isLeased(Entry entry) {
        return entry.leased && time.nanos() - entry.endNanos < 0;
    }

    private static Role role(Hello hello) {
        return hello.getRole();
    }

    /** State of one incarnation of a daemon. */
    private static final class Entry {
        private final Hello hello;
        private long confirmed;
        private boolean leased;
        private long endNanos;
        private long seenNanos;

        Entry(Hello hello) {
            this.hello = hello;
        }
    }
}
