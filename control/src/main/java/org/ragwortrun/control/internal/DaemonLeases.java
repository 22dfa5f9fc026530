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
 * The configuration leases that this member has given as leader of the meta group.
 *
 * <p>A daemon counts its lease from the time at which it sent its confirmation, this table from the time at which the
 * confirmation arrived. Used by one thread.
 */
public final class DaemonLeases {
    // Clock rates may differ by up to a tenth, so a lease counts longer here than at the daemon.
    private static final double CLOCK_MARGIN = 1.1;
    // A daemon without a lease is shown for this long, so that an operator sees what went away.
    private static final long SHOWN_NANOS = TimeUnit.MINUTES.toNanos(10);

    private final Time time;
    private final Duration lease;
    private final long leaseNanos;
    private final Map<String, Entry> byIncarnation = new LinkedHashMap<>();
    private long startedNanos;

    public DaemonLeases(Time time, Duration lease) {
        this.time = time;
        this.lease = lease;
        leaseNanos = (long) (lease.toNanos() * CLOCK_MARGIN);
        startedNanos = time.nanos();
    }

    /** Begins a leadership. Leases that an earlier leader gave are unknown and may still run. */
    public void begin() {
        byIncarnation.clear();
        startedNanos = time.nanos();
    }

    /**
     * Notes a confirmation.
     *
     * @param current number that is current under the leader's lease
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

    /** Tells whether no daemon can still work with a configuration older than the number. */
    public boolean inForce(long number) {
        return predecessorLeasesEnded() && awaited(number).isEmpty();
    }

    /** Tells whether every lease that an earlier leader may have given has run out. */
    public boolean predecessorLeasesEnded() {
        return time.nanos() - startedNanos >= leaseNanos;
    }

    /** Returns the names of the daemons that hold a lease and have not confirmed the number. */
    public List<String> awaited(long number) {
        return byIncarnation.values().stream()
                .filter(e -> e.confirmed < number && isLeased(e))
                .map(e -> e.hello.getName())
                .distinct()
                .sorted()
                .toList();
    }

    /** Returns the known daemons. Forgets those that have had no lease for ten minutes. */
    public List<DaemonState> states() {
        long now = time.nanos();
        byIncarnation.values().removeIf(e -> !isLeased(e) && now - e.seenNanos > SHOWN_NANOS);
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

    /** What is known about one incarnation of a daemon. */
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
