package org.ragwortrun.routing.version;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.ragwortrun.proto.EvidenceRow;

/** Compares two versions of a service over all strata, interval by interval. */
final class Comparison {
    private final String service;
    private final String from;
    private final String to;
    private final Map<Stratum, Sample> newer = new HashMap<>();
    private final Map<Stratum, Sample> older = new HashMap<>();
    private final Map<Stratum, Map<String, SequentialTest>> tests = new LinkedHashMap<>();

    private final OutageDetector outage = new OutageDetector();

    Comparison(String service, String from, String to) {
        this.service = service;
        this.from = from;
        this.to = to;
    }

    /** Adds rows to the current interval and returns the number of their requests to the new version. */
    long observe(Collection<EvidenceRow> rows) {
        long newerRequests = 0;
        for (EvidenceRow row : rows) {
            if (!row.getService().equals(service)) {
                continue;
            }
            if (row.getVersion().equals(to)) {
                merge(newer, row);
                newerRequests += row.getRequests();
            } else if (row.getVersion().equals(from)) {
                merge(older, row);
            }
        }
        return newerRequests;
    }

    /** Ends the interval and returns the reason for an alarm, if there is one. */
    Optional<String> endInterval() {
        newer.keySet().forEach(s -> tests.computeIfAbsent(s, Comparison::newTests));
        older.keySet().forEach(s -> tests.computeIfAbsent(s, Comparison::newTests));
        tests.forEach((stratum, byName) -> {
            Sample n = newer.getOrDefault(stratum, Sample.EMPTY);
            Sample o = older.getOrDefault(stratum, Sample.EMPTY);
            byName.values().forEach(t -> t.add(n, o));
        });
        outage.add(older.getOrDefault(Stratum.allOf(), Sample.EMPTY));
        newer.clear();
        older.clear();
        return alarm();
    }

    /** Returns whether any test has enough evidence against the new version to stop the increase of its share. */
    boolean isSuspicious() {
        return tests.values().stream()
                .flatMap(byName -> byName.values().stream())
                .anyMatch(t -> t.logEvidence() >= AlarmThresholds.LOG_SUSPICION);
    }

    /** Returns whether the old version is failing too, so that a comparison is not conclusive. */
    boolean isOutage() {
        return outage.isOutage();
    }

    private Optional<String> alarm() {
        return tests.entrySet().stream()
                .flatMap(e -> e.getValue().entrySet().stream()
                        .filter(t -> t.getValue().logEvidence() >= AlarmThresholds.LOG_ALARM)
                        .map(t -> t.getKey() + describe(e.getKey())))
                .findFirst();
    }

    private static String describe(Stratum s) {
        if (s.route().isEmpty()) {
            return "";
        }
        return " on route " + s.route() + (s.loadBand() < 0 ? "" : " at load band " + s.loadBand());
    }

    private static void merge(Map<Stratum, Sample> samples, EvidenceRow row) {
        Sample sample = Sample.of(row);
        List.of(Stratum.allOf(), Stratum.ofRoute(row.getRoute()), new Stratum(row.getRoute(), row.getLoadBand()))
                .forEach(s -> samples.merge(s, sample, Sample::plus));
    }

    private static Map<String, SequentialTest> newTests(Stratum stratum) {
        Map<String, SequentialTest> byName = new LinkedHashMap<>();
        byName.put("more failures", new FailureTest());
        byName.put("slower answers", new LatencyTest(stratum.loadBand() >= 0));
        return byName;
    }
}
