package org.ragwortrun.measure.config;

import java.util.Collection;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** Decides which delays count and which denials are false. */
final class ConfigJudge {
    /** Time after the acknowledgement of a change within which it has to be in force. */
    static final long LIMIT_NANOS = TimeUnit.SECONDS.toNanos(2);
    /** Time after a disturbance from which a router counts as undisturbed again. */
    static final long CALM_NANOS = TimeUnit.SECONDS.toNanos(3);

    /** Disturbances after which a router cannot be expected to follow the configuration. */
    static final Set<Disturbance.Kind> ALL = EnumSet.allOf(Disturbance.Kind.class);
    /** The same for a router that is expected to follow it over the links that are left. */
    static final Set<Disturbance.Kind> WITHOUT_MAJORITY = EnumSet.complementOf(EnumSet.of(Disturbance.Kind.SOME_LINKS));

    private static final Set<Disturbance.Kind> CUT_OFF = EnumSet.complementOf(EnumSet.of(Disturbance.Kind.FROZEN));

    private final Map<String, ? extends Collection<Disturbance>> disturbances;

    /** Creates a judge. The disturbances are those of the whole run, by router. */
    ConfigJudge(Map<String, ? extends Collection<Disturbance>> disturbances) {
        this.disturbances = disturbances;
    }

    /**
     * Returns the delays of changes, up to the last moment at which the router had been undisturbed for a while. A change
     * without such a moment between its acknowledgement and the first answer that shows it has none.
     */
    List<Delay> delays(Collection<Arrival> arrivals, Set<Disturbance.Kind> kinds) {
        return arrivals.stream()
                .map(a -> delay(a, kinds))
                .flatMap(Optional::stream)
                .toList();
    }

    private Optional<Delay> delay(Arrival a, Set<Disturbance.Kind> kinds) {
        long ack = a.change().ackNanos();
        long seen = Math.max(ack, a.seenNanos());
        OptionalLong calm = lastCalm(a.router(), kinds, ack, seen);
        return calm.isEmpty()
                ? Optional.empty()
                : Optional.of(new Delay(a, calm.getAsLong() - ack, a.seen() && calm.getAsLong() == seen));
    }

    /** Returns whether a request was denied later than the limit after its route had been acknowledged. */
    boolean isFalse(Denial denial) {
        return denial.sentNanos() - denial.change().ackNanos() > LIMIT_NANOS;
    }

    /**
     * Returns whether a router was restarted or one of its links harmed a short time before it was asked for an old part of
     * the configuration, or meanwhile. Then it may follow it, because it may be cut off.
     */
    boolean mayBeCutOff(OldPartAnswer d) {
        return wasDisturbed(d.router(), d.sentNanos(), d.answeredNanos(), CUT_OFF);
    }

    /** Returns whether a router was suspended a short time before it was asked for an old part, or meanwhile. */
    boolean wasFrozen(OldPartAnswer d) {
        return wasDisturbed(d.router(), d.sentNanos(), d.answeredNanos(), Set.of(Disturbance.Kind.FROZEN));
    }

    /** Returns whether a router was suspended a short time before it denied a request, or meanwhile. */
    boolean wasFrozen(Denial d) {
        return wasDisturbed(d.router(), d.sentNanos(), d.answeredNanos(), Set.of(Disturbance.Kind.FROZEN));
    }

    private boolean wasDisturbed(String router, long sentNanos, long answeredNanos, Set<Disturbance.Kind> kinds) {
        return of(router).stream()
                .anyMatch(f -> kinds.contains(f.kind())
                        && f.fromNanos() <= answeredNanos
                        && sentNanos < f.toNanos() + CALM_NANOS);
    }

    private OptionalLong lastCalm(String router, Set<Disturbance.Kind> kinds, long from, long to) {
        List<Disturbance> harmful =
                of(router).stream().filter(d -> kinds.contains(d.kind())).toList();
        long moment = to;
        while (moment >= from) {
            long at = moment;
            OptionalLong start = harmful.stream()
                    .filter(d -> d.fromNanos() <= at && at < d.toNanos() + CALM_NANOS)
                    .mapToLong(Disturbance::fromNanos)
                    .min();
            if (start.isEmpty()) {
                return OptionalLong.of(at);
            }
            moment = start.getAsLong() - 1;
        }
        return OptionalLong.empty();
    }

    private Collection<Disturbance> of(String router) {
        Collection<Disturbance> found = disturbances.get(router);
        return found == null ? List.of() : found;
    }
}
