package org.ragwortrun.router.internal.evidence;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.ragwortrun.core.refusal.Refusal;
import org.ragwortrun.core.refusal.RefusalReason;
import org.ragwortrun.core.time.Time;
import org.ragwortrun.ledger.PartCrashes;
import org.ragwortrun.proto.CrashReport;
import org.ragwortrun.proto.EndpointCrash;
import org.ragwortrun.proto.SuspectedParts;

/**
 * Quarantines parts of prompts that crash each endpoint that answers a request with them.
 *
 * <p>Such requests may differ in everything else, and harmless requests share their other parts. A part is not suspected
 * while this router has received a complete answer to a request with it within {@link #ANSWER_MEMORY}; if the fleet
 * quarantines such a part, this router has it released. The fleet decides from the crashes that all routers report. Until
 * control members have recorded the crashes of this router, the router decides from these crashes as well. Thread-safe.
 */
public final class PartQuarantine {
    public static final Duration QUARANTINE = Duration.ofMinutes(10);
    public static final Duration ANSWER_MEMORY = Duration.ofSeconds(30);
    private static final int MAX_PARTS = 8_192;

    private final Supplier<Map<ByteString, CrashReport>> fleetReports;
    private final BooleanSupplier hasUnrecordedCrashes;
    private final Consumer<ByteString> release;
    private final Time time;
    private final Map<ByteString, Long> answeredMs = new BoundedMap<>(MAX_PARTS);
    private final Map<ByteString, CrashReport> localReports = new BoundedMap<>(MAX_PARTS);
    private final Map<ByteString, CrashReport> contested = new BoundedMap<>(MAX_PARTS);

    /**
     * Creates a quarantine.
     *
     * @param fleetReports reports on the parts that the fleet quarantines, with wall-clock times
     * @param hasUnrecordedCrashes whether control members have not yet recorded all crashes of this router
     * @param release receives parts that the fleet quarantines although they were answered
     */
    public PartQuarantine(
            Supplier<Map<ByteString, CrashReport>> fleetReports,
            BooleanSupplier hasUnrecordedCrashes,
            Consumer<ByteString> release,
            Time time) {
        this.fleetReports = fleetReports;
        this.hasUnrecordedCrashes = hasUnrecordedCrashes;
        this.release = release;
        this.time = time;
    }

    /** Returns the refusal of a request with these parts, or nothing if it may be sent. */
    public Optional<Refusal> refusal(List<ByteString> parts) {
        return remainingQuarantine(parts)
                .map(left -> Refusal.notRun(
                        RefusalReason.PART_QUARANTINED,
                        "endpoints crashed while running prompts with this part",
                        left));
    }

    /** Returns for how long requests with these parts stay quarantined, or nothing if they may be sent. */
    synchronized Optional<Duration> remainingQuarantine(List<ByteString> parts) {
        Map<ByteString, CrashReport> fleet = fleetReports.get();
        if (parts.isEmpty() || fleet.isEmpty() && localReports.isEmpty()) {
            return Optional.empty();
        }
        // A harmless companion cannot be at fault, so the part is refused without it too.
        Predicate<ByteString> isPresent = companion -> parts.contains(companion) || isHarmless(companion);
        boolean localDecides = hasUnrecordedCrashes.getAsBoolean();
        return parts.stream()
                .map(p -> remaining(p, isPresent, fleet, localDecides))
                .filter(left -> left > 0)
                .max(Comparator.naturalOrder())
                .map(Duration::ofMillis);
    }

    private long remaining(
            ByteString part,
            Predicate<ByteString> isPresent,
            Map<ByteString, CrashReport> fleet,
            boolean localDecides) {
        CrashReport report = fleet.get(part);
        if (isHarmless(part)) {
            if (report != null) {
                contest(part, report);
            }
            return 0;
        }
        long age = Long.MAX_VALUE;
        if (report != null && PartCrashes.isRefused(report, isPresent)) {
            age = Math.max(0, time.wallMillis() - report.getLastCrashMs());
        }
        CrashReport local = localDecides ? localReports.get(part) : null;
        if (local != null && PartCrashes.isRefused(local, isPresent)) {
            age = Math.min(age, time.millis() - local.getLastCrashMs());
        }
        return Math.max(0, QUARANTINE.toMillis() - age);
    }

    /** Records a complete and successful answer to a request with these parts. */
    public synchronized void onAnswered(List<ByteString> parts) {
        Map<ByteString, CrashReport> fleet = fleetReports.get();
        for (ByteString part : parts) {
            answeredMs.put(part, time.millis());
            localReports.remove(part);
            CrashReport report = fleet.get(part);
            if (report != null) {
                contest(part, report);
            }
        }
    }

    /**
     * Records the parts of the requests that were running on an endpoint when it crashed and whose answers had not begun.
     * Returns those that are suspected of the crash, by request.
     */
    public synchronized List<SuspectedParts> onCrash(String endpoint, Collection<List<ByteString>> requests) {
        List<SuspectedParts> suspected = requests.stream()
                .map(parts -> parts.stream().filter(p -> !isHarmless(p)).toList())
                .filter(parts -> !parts.isEmpty())
                .map(parts -> SuspectedParts.newBuilder().addAllParts(parts).build())
                .toList();
        EndpointCrash crash = EndpointCrash.newBuilder()
                .setEndpoint(endpoint)
                .addAllRequests(suspected)
                .build();
        PartCrashes.count(crash, p -> Optional.ofNullable(localReports.get(p)), time.millis())
                .forEach(r -> localReports.put(r.getDigest(), r));
        return suspected;
    }

    private boolean isHarmless(ByteString part) {
        Long answered = answeredMs.get(part);
        return answered != null && time.millis() - answered <= ANSWER_MEMORY.toMillis();
    }

    /** Has a part released once for each report of the fleet. */
    private void contest(ByteString part, CrashReport report) {
        if (!report.equals(contested.put(part, report))) {
            release.accept(part);
        }
    }
}
