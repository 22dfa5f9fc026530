package org.ragwortrun.router.internal.forward;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.ragwortrun.core.metrics.Metrics;
import org.ragwortrun.core.time.Time;
import org.ragwortrun.net.Address;
import org.ragwortrun.proto.EndpointPerformance;
import org.ragwortrun.proto.ListedEndpoint;
import org.ragwortrun.proto.PerformanceReport;
import org.ragwortrun.router.internal.host.TrafficMeter;

final class PerformanceMessagesTest {
    private static final long MS = 1_000_000L;
    private static final String ORIGIN = "model";

    private long nowNanos = 10_000 * MS;

    /** A quiet router knows nothing of a slow endpoint, although another one has seen it for seconds. */
    @Test
    void tellsQuietRouterOfSlowEndpoint() {
        Router busy = new Router(4);
        Router hub = new Router(4);
        Router quiet = new Router(4);
        busy.learn(200, 1);
        PerformanceReport report = busy.messages.report(nowNanos);
        hub.messages.addReport(report, nowNanos);
        quiet.table.of(ORIGIN);
        quiet.messages.useCombined(hub.messages.combined(nowNanos), nowNanos);
        assertThat(quiet.factor(0) / quiet.factor(1)).isGreaterThan(1.5);
    }

    /** All answers at a router are late because of its own link: others regard its endpoints as slow. */
    @Test
    void delayAtReportingRouterDoesNotCount() {
        Router near = new Router(4);
        Router far = new Router(4);
        Router hub = new Router(4);
        hub.table.of(ORIGIN);
        near.learn(200, 1);
        far.learn(200, 8);
        hub.messages.addReport(near.messages.report(nowNanos), nowNanos);
        double alone = hub.pooled(0);
        hub.messages.addReport(far.messages.report(nowNanos), nowNanos);
        assertThat(hub.pooled(0)).isWithin(0.1 * alone).of(alone);
    }

    /** A fleet of 600 endpoints: reports grow beyond what a router may spend on communication. */
    @Test
    void limitsEntries() {
        Router router = new Router(600);
        router.learn(3_000, 1);
        PerformanceReport report = router.messages.report(nowNanos);
        assertThat(report.getEndpointsCount()).isEqualTo(PerformanceMessages.MAX_ENTRIES);
        assertThat(report.getSerializedSize()).isLessThan(3_000);
    }

    /** Each answer is reported once. */
    @Test
    void doesNotRepeatAnswers() {
        Router router = new Router(4);
        router.learn(200, 1);
        router.messages.report(nowNanos);
        assertThat(router.messages.report(nowNanos)).isEqualTo(PerformanceReport.getDefaultInstance());
    }

    /** A report with unknown endpoints, without the origin, or with impossible values changes what is known. */
    @Test
    void ignoresUnusableEntries() {
        Router router = new Router(4);
        router.learn(200, 1);
        double before = router.factor(1);
        for (double bad : new double[] {Double.NaN, Double.POSITIVE_INFINITY, 0, -1}) {
            router.messages.useCombined(report(bad, 100, 0), nowNanos);
            router.messages.useCombined(report(100, bad, 0), nowNanos);
        }
        router.messages.useCombined(report(100, 10_000, -1), nowNanos);
        router.messages.useCombined(
                PerformanceReport.newBuilder()
                        .addEndpoints(entry("e-1", 10_000, 0))
                        .addEndpoints(entry("x", 1, 0))
                        .build(),
                nowNanos);
        assertThat(router.factor(1)).isWithin(0.05).of(before);
    }

    private static PerformanceReport report(double mean, double serviceMs, int ageMs) {
        return PerformanceReport.newBuilder()
                .addEndpoints(entry(ORIGIN, mean, 0))
                .addEndpoints(entry("e-1", serviceMs, ageMs))
                .build();
    }

    private static EndpointPerformance entry(String id, double serviceMs, int ageMs) {
        return EndpointPerformance.newBuilder()
                .setEndpoint(id)
                .setServiceMs(serviceMs)
                .setPrefillTokensPerMs(44)
                .setWeight(50)
                .setAgeMs(ageMs)
                .build();
    }

    /** One router's state; the first of its endpoints is half as fast as the others. */
    private final class Router {
        private final EndpointTable endpoints;
        private final PerformanceTable table;
        private final PerformanceMessages messages;

        Router(int count) {
            Time time = new Time() {
                @Override
                public long nanos() {
                    return nowNanos;
                }

                @Override
                public long wallMillis() {
                    return 0;
                }
            };
            RequestHeaders headers = new RequestHeaders(HeaderNames.STANDARD);
            endpoints = new EndpointTable(
                    time,
                    e -> new EndpointConnectionPool(
                            new EmbeddedChannel().eventLoop(),
                            new Address("127.0.0.1", 1),
                            time,
                            headers,
                            new ConnectionEvents(Metrics.local()),
                            new TrafficMeter(false)),
                    (endpoint, head, current) -> {},
                    Duration.ZERO,
                    false);
            List<ListedEndpoint> list = new ArrayList<>();
            for (int i = 0; i < count; i++) {
                list.add(ListedEndpoint.newBuilder()
                        .setId("e-" + i)
                        .setService(ORIGIN)
                        .setAddress("127.0.0.1:1")
                        .build());
            }
            endpoints.applyOwnList(list);
            table = new PerformanceTable(true, endpoints);
            messages = new PerformanceMessages(endpoints, table);
        }

        void learn(int answers, double load) {
            int count = endpoints.all().size();
            for (int i = 0; i < answers; i++) {
                nowNanos += MS;
                EndpointState s = endpoints.find("e-" + i % count).orElseThrow();
                table.of(ORIGIN)
                        .onFirstEvent(
                                s.performance(), 1_000, (long) (load * (i % count == 0 ? 100 : 50) * MS), nowNanos);
            }
        }

        double factor(int endpoint) {
            return endpoints.find("e-" + endpoint).orElseThrow().performance().factor(nowNanos);
        }

        double pooled(int endpoint) {
            return endpoints
                    .find("e-" + endpoint)
                    .orElseThrow()
                    .performance()
                    .pooled(nowNanos)
                    .orElseThrow()
                    .factor();
        }
    }
}
