package org.ragwortrun.router.internal.forward;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import org.ragwortrun.core.time.Time;
import org.ragwortrun.router.internal.evidence.BoundedMap;
import org.ragwortrun.router.internal.evidence.PartQuarantine;

/**
 * Quarantines content that was running on endpoints when they crashed.
 *
 * <p>A request may crash every endpoint that runs it and be retried with other ids, at any router, while harmless
 * requests run on the same endpoints. Content that was running in two crashes is quarantined for {@link #QUARANTINE}
 * after the latest one; after that, one more crash quarantines it again. Content that was answered completely is not
 * suspected of the next crash. Used on the event loop.
 */
final class ContentQuarantine {
    static final Duration QUARANTINE = PartQuarantine.QUARANTINE;
    static final int CRASHES_TO_QUARANTINE = 2;
    private static final int MAX_CONTENTS = 4_096;

    private final Supplier<Map<ByteString, Long>> fleetCrashes;
    private final Time time;
    private final Map<ByteString, Crashes> localCrashes = new BoundedMap<>(MAX_CONTENTS);
    private final Map<ByteString, Boolean> answeredContents = new BoundedMap<>(MAX_CONTENTS);

    /**
     * Creates a quarantine.
     *
     * @param fleetCrashes wall-clock milliseconds of the latest crash of each content that the fleet quarantines
     */
    ContentQuarantine(Supplier<Map<ByteString, Long>> fleetCrashes, Time time) {
        this.fleetCrashes = fleetCrashes;
        this.time = time;
    }

    /** Returns for how long content stays quarantined, or nothing if it may be sent. */
    Optional<Duration> remainingQuarantine(RequestContent content) {
        Map<ByteString, Long> known = fleetCrashes.get();
        return known.isEmpty() && localCrashes.isEmpty()
                ? Optional.empty()
                : remainingQuarantine(content.digest(), known);
    }

    private Optional<Duration> remainingQuarantine(ByteString digest, Map<ByteString, Long> known) {
        Long fleetCrash = known.get(digest);
        Crashes ownCrashes = localCrashes.get(digest);
        long age = Long.MAX_VALUE;
        if (fleetCrash != null) {
            age = Math.max(0, time.wallMillis() - fleetCrash);
        }
        if (ownCrashes != null && ownCrashes.count() >= CRASHES_TO_QUARANTINE) {
            age = Math.min(age, time.millis() - ownCrashes.newestMs());
        }
        long left = QUARANTINE.toMillis() - age;
        return left > 0 ? Optional.of(Duration.ofMillis(left)) : Optional.empty();
    }

    /** Records that an endpoint has answered content completely. */
    void onAnswered(RequestContent content) {
        answeredContents.put(content.digest(), true);
        localCrashes.remove(content.digest());
    }

    /**
     * Records the contents that were running on an endpoint when it crashed. Returns those that are suspected of the
     * crash.
     */
    List<ByteString> onCrash(List<ByteString> contents) {
        List<ByteString> suspects = contents.stream()
                .filter(d -> answeredContents.remove(d) == null)
                .toList();
        Map<ByteString, Long> known = fleetCrashes.get();
        List<ByteString> quarantined = suspects.stream()
                .filter(d -> remainingQuarantine(d, known).isPresent())
                .toList();
        List<ByteString> counted = quarantined.isEmpty() ? suspects : quarantined;
        counted.forEach(d -> localCrashes.merge(d, new Crashes(1, time.millis()), Crashes::plus));
        return suspects;
    }

    private record Crashes(int count, long newestMs) {
        Crashes plus(Crashes later) {
            return new Crashes(count + later.count, later.newestMs);
        }
    }
}
