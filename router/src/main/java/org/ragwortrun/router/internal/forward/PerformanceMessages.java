package org.ragwortrun.router.internal.forward;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Function;
import java.util.function.Predicate;
import org.ragwortrun.proto.PerformanceReport;
import org.ragwortrun.routing.EndpointPerformance;
import org.ragwortrun.routing.EndpointPerformance.Evidence;
import org.ragwortrun.routing.OriginPerformance;

/**
 * Converts what a router has learned to messages and back.
 *
 * <p>A message has an entry with the name of each origin, which holds the mean of its endpoints. What it says about an
 * endpoint is relative to that entry, so that a router whose own link or processor delays all answers does not make the
 * endpoints look slow to others. Used on the event loop.
 */
final class PerformanceMessages {
    static final int MAX_ENTRIES = 64;
    // An endpoint whose speed differs less from the mean is not worth an entry in a reply.
    private static final double MIN_LOG_DIFFERENCE = 0.1;
    // Values of a message that are older than this have decayed.
    private static final long MAX_AGE_MS = 60_000;

    private final EndpointTable endpoints;
    private final PerformanceTable table;

    PerformanceMessages(EndpointTable endpoints, PerformanceTable table) {
        this.endpoints = endpoints;
        this.table = table;
    }

    /** Returns a report of the answers since the last report. */
    PerformanceReport report(long now) {
        return message(EndpointPerformance::takeUnreported, e -> true, now);
    }

    /** Returns what the routers that report to this one have learned about endpoints that differ from the mean. */
    PerformanceReport combined(long now) {
        return message(p -> p.pooled(now), e -> Math.abs(Math.log(e.factor())) >= MIN_LOG_DIFFERENCE, now);
    }

    private PerformanceReport message(
            Function<EndpointPerformance, Optional<Evidence>> source, Predicate<Evidence> included, long now) {
        record Entry(EndpointState endpoint, Evidence evidence) {}
        List<Entry> entries = new ArrayList<>();
        for (EndpointState s : endpoints.all()) {
            source.apply(s.performance()).filter(included).ifPresent(e -> entries.add(new Entry(s, e)));
        }
        // Those that differ most from the mean, if not all fit.
        entries.sort(Comparator.comparingDouble((Entry e) ->
                        Math.abs(Math.log(e.evidence().factor())) * e.evidence().weight())
                .reversed());
        PerformanceReport.Builder out = PerformanceReport.newBuilder();
        Map<String, OriginPerformance> origins = new HashMap<>();
        for (Entry e : entries) {
            String origin = e.endpoint().listed().getService();
            boolean added = origins.containsKey(origin);
            if (out.getEndpointsCount() + (added ? 1 : 2) > MAX_ENTRIES) {
                break;
            }
            OriginPerformance mean = origins.computeIfAbsent(origin, table::of);
            if (!added) {
                out.addEndpoints(mean(origin, mean));
            }
            out.addEndpoints(entry(e.endpoint().id(), mean, e.evidence(), now));
        }
        return out.build();
    }

    private static org.ragwortrun.proto.EndpointPerformance.Builder mean(String origin, OriginPerformance mean) {
        return org.ragwortrun.proto.EndpointPerformance.newBuilder()
                .setEndpoint(origin)
                .setPrefillTokensPerMs(mean.tokensPerMs())
                .setServiceMs(mean.baseMs())
                .setGapMs(mean.gapMs())
                .setWeight(mean.weight());
    }

    private static org.ragwortrun.proto.EndpointPerformance.Builder entry(
            String endpoint, OriginPerformance mean, Evidence evidence, long now) {
        long ageMs = TimeUnit.NANOSECONDS.toMillis(Math.max(0, now - evidence.newestNanos()));
        return org.ragwortrun.proto.EndpointPerformance.newBuilder()
                .setEndpoint(endpoint)
                .setServiceMs(mean.baseMs() * evidence.factor())
                .setWeight(evidence.weight())
                .setAgeMs((int) Math.min(MAX_AGE_MS, ageMs));
    }

    /** Adds a report to what the routers that report to this one have learned. */
    void addReport(PerformanceReport report, long now) {
        read(report, now, (p, e) -> p.addReport(e, now));
    }

    /** Uses what other routers have learned. */
    void useCombined(PerformanceReport report, long now) {
        read(report, now, EndpointPerformance::setOthers);
        for (org.ragwortrun.proto.EndpointPerformance e : entries(report)) {
            OriginPerformance origin = table.origins().get(e.getEndpoint());
            // A hub without requests to an origin does not know its mean.
            if (origin != null && e.getWeight() >= 1) {
                origin.setPrior(e.getServiceMs(), e.getPrefillTokensPerMs());
            }
        }
    }

    private void read(PerformanceReport report, long now, BiConsumer<EndpointPerformance, Evidence> receiver) {
        Map<String, Double> means = new HashMap<>();
        for (org.ragwortrun.proto.EndpointPerformance e : entries(report)) {
            means.put(e.getEndpoint(), e.getServiceMs());
        }
        for (org.ragwortrun.proto.EndpointPerformance e : entries(report)) {
            endpoints.find(e.getEndpoint()).ifPresent(s -> {
                double mean = means.getOrDefault(s.listed().getService(), 0.0);
                // The age is unsigned, so a value beyond the range of int appears negative.
                long ageMs = Integer.toUnsignedLong(e.getAgeMs());
                if (mean > 0 && ageMs <= MAX_AGE_MS) {
                    receiver.accept(
                            s.performance(),
                            new Evidence(
                                    e.getServiceMs() / mean,
                                    e.getWeight(),
                                    now - TimeUnit.MILLISECONDS.toNanos(ageMs)));
                }
            });
        }
    }

    private static List<org.ragwortrun.proto.EndpointPerformance> entries(PerformanceReport report) {
        return report.getEndpointsList().subList(0, Math.min(MAX_ENTRIES, report.getEndpointsCount()));
    }
}
