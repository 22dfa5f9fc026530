package org.ragwortrun.agent.internal;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.apache.hc.core5.http.Header;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jspecify.annotations.Nullable;
import org.ragwortrun.core.log.Event;
import org.ragwortrun.core.metrics.Metrics;
import org.ragwortrun.core.time.Time;
import org.ragwortrun.routing.EndpointLimit;
import org.ragwortrun.routing.LimitStatement;
import org.ragwortrun.routing.PermitBucket;

/**
 * Keeps the requests to the agent's endpoint within the limit that the endpoint names in its answers.
 *
 * <p>All requests of all routers pass through the endpoint's agent, so that it needs no coordinator. An answer without a
 * limit ends the one that was named before. Health checks do not count. Thread-safe.
 */
final class EndpointLimitGate {
    private static final Logger LOG = LogManager.getLogger(EndpointLimitGate.class);
    private static final String HEADER = "Ragwortrun-Limit";

    private final Time time;
    private final Metrics metrics;
    private final EndpointLimit limit = new EndpointLimit();
    private @Nullable PermitBucket bucket;

    EndpointLimitGate(Time time, Metrics metrics) {
        this.time = time;
        this.metrics = metrics;
    }

    /** Reads the head of an answer to a request that was sent at a monotonic time. */
    synchronized void onAnswer(List<Header> headers, long sentNanos) {
        List<String> values = headers.stream()
                .filter(h -> HEADER.equalsIgnoreCase(h.getName()))
                .map(h -> String.valueOf(h.getValue()))
                .toList();
        long now = time.nanos();
        Optional<LimitStatement> statement = LimitStatement.read(values, sentNanos, now);
        if (statement.isEmpty()) {
            metrics.count("agent_unreadable_limits", 1);
            return;
        }
        double before = limit.perSecond();
        if (limit.record(statement.get())) {
            updateBucket(now);
            Event.of("endpoint-limit")
                    .with("per-second", limit.perSecond())
                    .with("before", before)
                    .info(LOG);
        }
    }

    private void updateBucket(long now) {
        double perSecond = limit.limit().map(LimitStatement::usablePerSecond).orElse(0.0);
        PermitBucket b = bucket;
        if (!limit.isLimited()) {
            bucket = null;
        } else if (b == null) {
            bucket = new PermitBucket(perSecond, now);
        } else {
            b.setRate(perSecond, now);
        }
    }

    /** Returns whether a request may be sent after a number of others. */
    synchronized boolean hasPermitBehind(int others) {
        PermitBucket b = bucket;
        return b == null || b.available(time.nanos()) > others;
    }

    /** Takes a permit for one request, in advance if there is none. */
    synchronized void take() {
        PermitBucket b = bucket;
        if (b != null) {
            b.take(time.nanos());
        }
    }

    /** Takes a permit for one request. Returns whether there was one. */
    synchronized boolean tryTake() {
        PermitBucket b = bucket;
        return b == null || b.tryTake(time.nanos());
    }

    /** Returns the time until a request may be sent after a number of others. */
    synchronized Duration waitBehind(int others) {
        PermitBucket b = bucket;
        return b == null ? Duration.ZERO : Duration.ofNanos(b.nanosUntil(others + 1, time.nanos()));
    }
}
