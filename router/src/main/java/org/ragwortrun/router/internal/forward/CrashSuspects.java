package org.ragwortrun.router.internal.forward;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.ragwortrun.core.time.Time;

/**
 * Decides whether content that was on crashed endpoints may be sent to another one.
 *
 * <p>The load it answers: a request that crashes each endpoint that runs it and comes again under other ids, at any
 * router, among sound requests that shared these endpoints. Content that was on two crashed endpoints is kept back for
 * a while after the newest crash; then one more crash is enough. Content that was answered whole is not suspected of the
 * next crash. Used on the event loop.
 */
final class CrashSuspects {
    static final Duration QUARANTINE = Duration.ofMinutes(10);
    static final int CRASHES = 2;
    private static final int MOST_CONTENTS = 4_096;

    private final Supplier<Map<ByteString, Long>> fleet;
    private final Time time;
    private final Map<ByteString, Crashes> own = new Bounded<>();
    private final Map<ByteString, Boolean> answered = new Bounded<>();

    /**
     * Creates suspects.
     *
     * @param fleet wall-clock milliseconds of the newest crash of each content that the fleet keeps back
     */
    CrashSuspects(Supplier<Map<ByteString, Long>> fleet, Time time) {
        this.fleet = fleet;
        this.time = time;
    }

    /** Returns for how long content is kept back, or nothing if it may be sent. */
    Optional<Duration> keptBackFor(RequestContent content) {
        Map<ByteString, Long> known = fleet.get();
        return known.isEmpty() && own.isEmpty() ? Optional.empty() : keptBackFor(content.digest(), known);
    }

    private Optional<Duration> keptBackFor(ByteString digest, Map<ByteString, Long> known) {
        Long fleetCrash = known.get(digest);
        Crashes ownCrashes = own.get(digest);
        long age = Long.MAX_VALUE;
        if (fleetCrash != null) {
            age = Math.max(0, time.wallMillis() - fleetCrash);
        }
        if (ownCrashes != null && ownCrashes.count() >= CRASHES) {
            age = Math.min(age, time.millis() - ownCrashes.newestMs());
        }
        long left = QUARANTINE.toMillis() - age;
        return left > 0 ? Optional.of(Duration.ofMillis(left)) : Optional.empty();
    }

    /** Notes that an endpoint has answered content whole. */
    void answered(RequestContent content) {
        answered.put(content.digest(), true);
        own.remove(content.digest());
    }

    /** Notes what was on an endpoint when it crashed. Returns what is suspected of it. */
    List<ByteString> crashed(List<ByteString> contents) {
        List<ByteString> suspects =
                contents.stream().filter(d -> answered.remove(d) == null).toList();
        Map<ByteString, Long> known = fleet.get();
        List<ByteString> explaining =
                suspects.stream().filter(d -> keptBackFor(d, known).isPresent()).toList();
        List<ByteString> blamed = explaining.isEmpty() ? suspects : explaining;
        blamed.forEach(d -> own.merge(d, new Crashes(1, time.millis()), Crashes::plus));
        return suspects;
    }

    private record Crashes(int count, long newestMs) {
        Crashes plus(Crashes later) {
            return new Crashes(count + later.count, later.newestMs);
        }
    }

    private static final class Bounded<V> extends LinkedHashMap<ByteString, V> {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.@Nullable Entry<ByteString, V> eldest) {
            return size() > MOST_CONTENTS;
        }
    }
}
