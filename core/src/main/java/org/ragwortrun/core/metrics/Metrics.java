package org.ragwortrun.core.metrics;

import io.opentelemetry.api.common.AttributeKey;
import io.opentelemetry.api.common.Attributes;
import io.opentelemetry.api.metrics.LongCounter;
import io.opentelemetry.api.metrics.LongHistogram;
import io.opentelemetry.api.metrics.Meter;
import io.opentelemetry.exporter.prometheus.PrometheusHttpServer;
import io.opentelemetry.sdk.metrics.SdkMeterProvider;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.ragwortrun.core.log.DroppedLogLines;
import org.ragwortrun.core.refusal.RefusalReason;

/** Counters and gauges of one process. */
public final class Metrics implements AutoCloseable {
    private static final AttributeKey<String> OUTCOME = AttributeKey.stringKey("outcome");
    private static final AttributeKey<String> REASON = AttributeKey.stringKey("reason");

    private final SdkMeterProvider provider;
    private final Meter meter;
    private final LongCounter refusals;
    private final LongCounter retries;
    private final Map<String, LongCounter> counters = new ConcurrentHashMap<>();
    private final Map<String, LongHistogram> histograms = new ConcurrentHashMap<>();

    private Metrics(SdkMeterProvider provider) {
        this.provider = provider;
        meter = provider.get("org.ragwortrun");
        refusals = meter.counterBuilder("ragwortrun_refusals")
                .setDescription("Requests refused, by reason")
                .build();
        retries = meter.counterBuilder("ragwortrun_retries")
                .setDescription("Attempts repeated, by reason")
                .build();
    }

    /** Exports at {@code http://host:port/metrics}. Port 0 exports nothing. */
    public static Metrics exporting(String host, int port) {
        if (port == 0) {
            return local();
        }
        PrometheusHttpServer reader =
                PrometheusHttpServer.builder().setHost(host).setPort(port).build();
        Metrics metrics = new Metrics(
                SdkMeterProvider.builder().registerMetricReader(reader).build());
        metrics.gauge("log_lines_dropped", "Log lines dropped for want of room", DroppedLogLines::count);
        return metrics;
    }

    /** Creates metrics that are not exported. */
    public static Metrics local() {
        return new Metrics(SdkMeterProvider.builder().build());
    }

    public void refused(RefusalReason reason) {
        refusals.add(1, Attributes.of(REASON, reason.code()));
    }

    /** Counts one retry. The reason is a lower-case name with hyphens. */
    public void retried(String reason) {
        retries.add(1, Attributes.of(REASON, reason));
    }

    /** Adds to a counter that is created on first use. */
    public void count(String name, long amount) {
        counters.computeIfAbsent(
                        name, n -> meter.counterBuilder("ragwortrun_" + n).build())
                .add(amount);
    }

    /** Adds a duration in milliseconds to a histogram that is created on first use, by outcome. */
    public void recordDuration(String name, String outcome, long millis) {
        histograms
                .computeIfAbsent(
                        name,
                        n -> meter.histogramBuilder("ragwortrun_" + n)
                                .ofLongs()
                                .setUnit("ms")
                                .build())
                .record(millis, Attributes.of(OUTCOME, outcome));
    }

    /** Registers a gauge that is read at each scrape until the returned object is closed. */
    public AutoCloseable gauge(String name, String description, LongSupplier value) {
        return meter.gaugeBuilder("ragwortrun_" + name)
                .ofLongs()
                .setDescription(description)
                .buildWithCallback(m -> m.record(value.getAsLong()));
    }

    /** Registers gauges with a label, which are read at each scrape until the returned object is closed. */
    public AutoCloseable gauges(String name, String description, String label, Supplier<Map<String, Double>> values) {
        AttributeKey<String> key = AttributeKey.stringKey(label);
        return meter.gaugeBuilder("ragwortrun_" + name)
                .setDescription(description)
                .buildWithCallback(m -> values.get().forEach((l, v) -> m.record(v, Attributes.of(key, l))));
    }

    @Override
    public void close() {
        provider.close();
    }
}
