package org.ragwortrun.ledger;

import com.google.protobuf.ByteString;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.ragwortrun.proto.CrashReport;
import org.ragwortrun.proto.EndpointCrash;
import org.ragwortrun.proto.SuspectedParts;

/**
 * Counts endpoint crashes by the parts of the prompts that were running, and decides which parts are quarantined.
 *
 * <p>Parts that were together in all suspected requests are companions. The crashes do not show which of them is at
 * fault, so only requests that contain all of them are refused. A crash during a request that should have been refused
 * is attributed to its quarantined part and counts against no other part.
 */
public final class PartCrashes {
    /** Number of crashes from which a part is quarantined. */
    public static final int CRASHES_TO_QUARANTINE = 3;

    // Several routers report the same crash; the endpoint cannot be back and crash again within this time.
    private static final long SAME_CRASH_MS = 2_000;
    private static final int MAX_ENDPOINTS = 16;

    private PartCrashes() {}

    /**
     * Returns the changed reports after a crash.
     *
     * @param find returns the report on a part so far
     * @param nowMs wall-clock time of the crash
     */
    public static List<CrashReport> count(
            EndpointCrash crash, Function<ByteString, Optional<CrashReport>> find, long nowMs) {
        List<Set<ByteString>> requests = crash.getRequestsList().stream()
                .map(SuspectedParts::getPartsList)
                .<Set<ByteString>>map(LinkedHashSet::new)
                .toList();
        Set<ByteString> quarantined = requests.stream()
                .flatMap(parts -> parts.stream()
                        .filter(p -> find.apply(p)
                                .filter(r -> isRefused(r, parts::contains))
                                .isPresent()))
                .collect(Collectors.toSet());
        return companions(requests).entrySet().stream()
                .filter(e -> quarantined.isEmpty() || quarantined.contains(e.getKey()))
                .map(e -> plus(find.apply(e.getKey()), e.getKey(), e.getValue(), crash.getEndpoint(), nowMs))
                .toList();
    }

    /**
     * Returns whether a request is refused because of a report on one of its parts.
     *
     * @param isPresent returns whether the request contains a companion of the part, or can be regarded as if it did
     */
    public static boolean isRefused(CrashReport report, Predicate<ByteString> isPresent) {
        return report.getRefused() && report.getCompanionsList().stream().allMatch(isPresent);
    }

    /** Returns the report on a part that was shown to be harmless. */
    public static CrashReport cleared(ByteString part) {
        return CrashReport.newBuilder()
                .setDigest(part)
                .setPart(true)
                .setCleared(true)
                .build();
    }

    /** Returns a report without a companion that was shown to be harmless. */
    public static CrashReport withoutCompanion(CrashReport report, ByteString part) {
        List<ByteString> others =
                report.getCompanionsList().stream().filter(c -> !c.equals(part)).toList();
        return report.toBuilder().clearCompanions().addAllCompanions(others).build();
    }

    /** Returns for each part the other parts that are in all requests with it. */
    private static Map<ByteString, Set<ByteString>> companions(List<Set<ByteString>> requests) {
        Map<ByteString, Set<ByteString>> all = new HashMap<>();
        for (Set<ByteString> parts : requests) {
            for (ByteString part : parts) {
                all.computeIfAbsent(part, p -> new HashSet<>(parts)).retainAll(parts);
            }
        }
        all.forEach((part, others) -> others.remove(part));
        return all;
    }

    private static CrashReport plus(
            Optional<CrashReport> earlier, ByteString part, Set<ByteString> others, String endpoint, long nowMs) {
        CrashReport before = earlier.filter(r -> !r.getCleared())
                .orElseGet(() -> CrashReport.newBuilder()
                        .setDigest(part)
                        .setPart(true)
                        .addAllCompanions(others)
                        .build());
        boolean known =
                before.getEndpointsList().contains(endpoint) && nowMs - before.getLastCrashMs() <= SAME_CRASH_MS;
        int crashes = before.getCrashes() + (known ? 0 : 1);
        Set<String> endpoints = new LinkedHashSet<>(before.getEndpointsList());
        endpoints.add(endpoint);
        return before.toBuilder()
                .setCrashes(crashes)
                .setRefused(crashes >= CRASHES_TO_QUARANTINE)
                .setEndpoint(endpoint)
                .setLastCrashMs(nowMs)
                .clearEndpoints()
                .addAllEndpoints(endpoints.stream()
                        .skip(Math.max(0, endpoints.size() - MAX_ENDPOINTS))
                        .toList())
                .clearCompanions()
                .addAllCompanions(before.getCompanionsList().stream()
                        .filter(others::contains)
                        .toList())
                .build();
    }
}
