package org.ragwortrun.router.internal.forward;

import java.util.DoubleSummaryStatistics;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.ragwortrun.core.config.Origin;
import org.ragwortrun.core.log.Event;
import org.ragwortrun.core.metrics.Metrics;
import org.ragwortrun.router.internal.evidence.BoundedMap;
import org.ragwortrun.routing.EndpointPerformance;
import org.ragwortrun.routing.OriginPerformance;

/** What this router has learned about the endpoints of each origin. Used on the event loop, except for the gauges. */
final class PerformanceTable {
    private static final Logger LOG = LogManager.getLogger(PerformanceTable.class);
    // Several times the number of origins of the largest configuration.
    private static final int MAX_ORIGINS = 256;

    private final boolean enabled;
    private final EndpointTable endpoints;
    private final Map<String, OriginPerformance> origins = new BoundedMap<>(MAX_ORIGINS);
    private volatile Map<String, DoubleSummaryStatistics> speeds = Map.of();

    /**
     * Creates an empty table.
     *
     * @param enabled whether answers are learned from
     */
    PerformanceTable(boolean enabled, EndpointTable endpoints) {
        this.enabled = enabled;
        this.endpoints = endpoints;
    }

    OriginPerformance of(String origin) {
        return origins.computeIfAbsent(origin, o -> new OriginPerformance());
    }

    Map<String, OriginPerformance> origins() {
        return origins;
    }

    /** Returns an observer of the answer to a request that is sent now. */
    AnswerObserver observe(EndpointState endpoint, Origin origin, CallerRequest request, long now) {
        // The last part of a prompt is specific to its session; the parts before it are shared.
        AnswerLatency latency = new AnswerLatency(request.parts().size() > 1, now);
        return new AnswerObserver(latency, this, endpoint, origin, request.parts(), now);
    }

    boolean isEnabled() {
        return enabled;
    }

    /** Logs what was learned about an endpoint if it has changed much. At most one line in some seconds for each. */
    void logChange(EndpointState endpoint, String origin, double observedMs, double tokens, long now) {
        EndpointPerformance p = endpoint.performance();
        if (p.hasChangedMuch(now)) {
            Event.of("endpoint-speed-changed")
                    .with("endpoint", endpoint.id())
                    .with("origin", origin)
                    .with("factor", decimal(p.factor(now)))
                    .with("observed-ms", decimal(observedMs))
                    .with("predicted-ms", decimal(of(origin).predictMs(tokens)))
                    .with("tokens", (long) tokens)
                    .with("answers", decimal(p.weight(now)))
                    .with("others-answers", decimal(p.othersWeight(now)))
                    .with("in-flight", endpoint.inFlight())
                    .with("list-age-ms", endpoints.ageMs())
                    .info(LOG);
        }
    }

    /** Updates the values of the gauges. */
    void updateGauges(long now) {
        Map<String, DoubleSummaryStatistics> byOrigin = new HashMap<>();
        endpoints
                .all()
                .forEach(s -> byOrigin.computeIfAbsent(s.listed().getService(), o -> new DoubleSummaryStatistics())
                        .accept(1 / s.performance().factor(now)));
        speeds = byOrigin;
    }

    /** Registers gauges of the least, mean and largest speed of the endpoints of each origin, relative to their mean. */
    void addGauges(Metrics metrics) {
        gauge(metrics, "min", DoubleSummaryStatistics::getMin);
        gauge(metrics, "mean", DoubleSummaryStatistics::getAverage);
        gauge(metrics, "max", DoubleSummaryStatistics::getMax);
    }

    private void gauge(Metrics metrics, String name, ToDoubleFunction<DoubleSummaryStatistics> value) {
        metrics.gauges(
                "endpoint_speed_" + name, "Learned speed of endpoints, 1 for the origin's mean", "origin", () -> {
                    Map<String, Double> values = new HashMap<>();
                    speeds.forEach((origin, s) -> values.put(origin, value.applyAsDouble(s)));
                    return values;
                });
    }

    private static String decimal(double value) {
        return String.format(Locale.ROOT, "%.2f", value);
    }
}
