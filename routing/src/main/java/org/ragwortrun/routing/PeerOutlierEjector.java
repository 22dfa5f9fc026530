package org.ragwortrun.routing;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ToDoubleFunction;
import java.util.stream.Collectors;
import org.ragwortrun.core.time.Time;

/**
 * Compares the failures and latencies of each endpoint with those of its peers on the same route, window by window.
 *
 * <p>The ejection time of an endpoint doubles with each ejection. If more than half of the compared endpoints are
 * outliers, the cause is assumed to be common and none is ejected. At least half of the candidates for a request are
 * kept.
 */
public final class PeerOutlierEjector implements OutlierEjector {
    private static final long WINDOW_NANOS = 5_000_000_000L;
    // With fewer results, chance failures look like faults.
    private static final int MIN_RESULTS = 20;
    private static final double EXCESS_FAILURES = 0.2;
    private static final double LATENCY_RATIO = 3;
    // Ignores high ratios between very short latencies, which are noise.
    private static final double MIN_EXCESS_LATENCY_NANOS = 5_000_000;
    private static final long FIRST_EJECTION_NANOS = 10_000_000_000L;
    private static final int MAX_DOUBLINGS = 5;
    private static final int MAX_KEYS = 100_000;

    private record Group(String service, String route) {}

    private final Time time;
    private final Map<Group, Map<String, Results>> window = new HashMap<>();
    private final Map<String, Ejection> ejections = new HashMap<>();
    private long windowEnd;
    private int keys;

    public PeerOutlierEjector(Time time) {
        this.time = time;
        windowEnd = time.nanos() + WINDOW_NANOS;
    }

    @Override
    public synchronized void onResult(
            String service, String route, String endpoint, boolean success, long latencyNanos) {
        long now = time.nanos();
        if (now - windowEnd >= 0) {
            endWindow(now);
        }
        Map<String, Results> group = window.computeIfAbsent(new Group(service, route), g -> new HashMap<>());
        Results results = group.get(endpoint);
        if (results == null) {
            if (keys >= MAX_KEYS) {
                return;
            }
            keys++;
            results = new Results();
            group.put(endpoint, results);
        }
        results.add(success, latencyNanos);
    }

    @Override
    public synchronized List<EndpointCandidate> excludeEjected(List<EndpointCandidate> candidates) {
        long now = time.nanos();
        if (now - windowEnd >= 0) {
            endWindow(now);
        }
        if (ejections.isEmpty()) {
            return candidates;
        }
        Set<String> ejected = candidates.stream()
                .map(EndpointCandidate::name)
                .filter(name -> remainingNanos(name, now) > 0)
                .sorted(Comparator.<String>comparingLong(name -> remainingNanos(name, now))
                        .reversed()
                        .thenComparing(Comparator.naturalOrder()))
                .limit(candidates.size() / 2)
                .collect(Collectors.toSet());
        return candidates.stream().filter(c -> !ejected.contains(c.name())).toList();
    }

    private long remainingNanos(String endpoint, long now) {
        Ejection e = ejections.get(endpoint);
        return e == null ? 0 : e.until - now;
    }

    private void endWindow(long now) {
        Set<String> outliers = new HashSet<>();
        window.values().forEach(group -> outliers.addAll(outliers(group)));
        outliers.forEach(
                name -> ejections.computeIfAbsent(name, n -> new Ejection(now)).eject(now));
        ejections.values().removeIf(e -> e.isExpired(now));
        window.clear();
        keys = 0;
        windowEnd = now + WINDOW_NANOS;
    }

    private static Set<String> outliers(Map<String, Results> group) {
        Map<String, Results> compared = group.entrySet().stream()
                .filter(e -> e.getValue().count >= MIN_RESULTS)
                .collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue));
        Set<String> outliers = compared.entrySet().stream()
                .filter(e -> isOutlier(e.getKey(), e.getValue(), compared))
                .map(Map.Entry::getKey)
                .collect(Collectors.toSet());
        return outliers.size() > compared.size() / 2 ? Set.of() : outliers;
    }

    private static boolean isOutlier(String name, Results own, Map<String, Results> compared) {
        if (compared.size() < 2) {
            return false;
        }
        double peerFailures = peerMedian(name, compared, Results::failureRate);
        double peerLatency = peerMedian(name, compared, Results::latency);
        return own.failureRate() > peerFailures + EXCESS_FAILURES
                || own.latency() > LATENCY_RATIO * peerLatency
                        && own.latency() > peerLatency + MIN_EXCESS_LATENCY_NANOS;
    }

    /** Returns the upper median of the peers, so that with two peers the worse one is the reference. */
    private static double peerMedian(String name, Map<String, Results> compared, ToDoubleFunction<Results> value) {
        double[] peers = compared.entrySet().stream()
                .filter(e -> !e.getKey().equals(name))
                .map(Map.Entry::getValue)
                .mapToDouble(value)
                .sorted()
                .toArray();
        return peers[peers.length / 2];
    }

    private static final class Results {
        private int count;
        private int failures;
        private double logLatency;

        void add(boolean success, long latencyNanos) {
            count++;
            failures += success ? 0 : 1;
            logLatency += Math.log(Math.max(1, latencyNanos));
        }

        double failureRate() {
            return (double) failures / count;
        }

        /** Returns the geometric mean, so that a single long request does not make an outlier. */
        double latency() {
            return Math.exp(logLatency / count);
        }
    }

    private static final class Ejection {
        private long until;
        private int count;

        Ejection(long now) {
            until = now;
        }

        void eject(long now) {
            // Results of requests that started before the ejection must not extend it.
            if (until - now <= 0) {
                until = now + (FIRST_EJECTION_NANOS << Math.min(count, MAX_DOUBLINGS));
                count++;
            }
        }

        /** Returns whether the endpoint has not been ejected for longer than the longest ejection. */
        boolean isExpired(long now) {
            return now - until > FIRST_EJECTION_NANOS << MAX_DOUBLINGS;
        }
    }
}
