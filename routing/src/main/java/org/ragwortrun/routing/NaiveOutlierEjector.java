package org.ragwortrun.routing;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.ragwortrun.core.time.Time;

/**
 * Ejects an endpoint after several consecutive failures; a baseline for comparison.
 *
 * <p>A failure common to all endpoints ejects all of them, and a slow endpoint is never ejected.
 */
public final class NaiveOutlierEjector implements OutlierEjector {
    private static final int FAILURE_THRESHOLD = 5;
    private static final long EJECTION_NANOS = 30_000_000_000L;

    private final Time time;
    private final Map<String, Integer> failures = new ConcurrentHashMap<>();
    private final Map<String, Long> ejectedUntil = new ConcurrentHashMap<>();

    public NaiveOutlierEjector(Time time) {
        this.time = time;
    }

    @Override
    public void onResult(String service, String route, String endpoint, boolean success, long latencyNanos) {
        if (success) {
            failures.remove(endpoint);
        } else if (failures.merge(endpoint, 1, Integer::sum) >= FAILURE_THRESHOLD) {
            failures.remove(endpoint);
            ejectedUntil.put(endpoint, time.nanos() + EJECTION_NANOS);
        }
    }

    @Override
    public List<EndpointCandidate> excludeEjected(List<EndpointCandidate> candidates) {
        long now = time.nanos();
        return candidates.stream()
                .filter(c -> ejectedUntil.getOrDefault(c.name(), now) - now <= 0)
                .toList();
    }
}
