package org.ragwortrun.router.internal.forward;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import java.util.List;
import java.util.Optional;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.ragwortrun.core.log.Event;
import org.ragwortrun.core.metrics.Metrics;
import org.ragwortrun.core.time.Time;
import org.ragwortrun.routing.EndpointLimit;
import org.ragwortrun.routing.LimitStatement;

/**
 * Reads the limits that endpoints name in their answers. An answer without a limit ends the one that was named before.
 *
 * <p>Only answers to the current request of a connection are read. The repeated copy of an earlier answer says nothing
 * about the present.
 */
final class LimitReader {
    private static final Logger LOG = LogManager.getLogger(LimitReader.class);
    private static final int MISDIRECTED = 421;
    private static final int MAX_LOGGED_CHARS = 40;

    private final RequestHeaders requestHeaders;
    private final EndpointTable endpoints;
    private final Metrics metrics;
    private final Time time;

    LimitReader(RequestHeaders requestHeaders, EndpointTable endpoints, Metrics metrics, Time time) {
        this.requestHeaders = requestHeaders;
        this.endpoints = endpoints;
        this.metrics = metrics;
        this.time = time;
    }

    /**
     * Reads the head of an answer. Ignores one of another endpoint, and limits that are no finite, non-negative number.
     *
     * @param sentNanos monotonic time at which the request was sent
     * @return whether the limit has changed
     */
    boolean read(EndpointState endpoint, HttpResponse answer, long sentNanos) {
        HttpHeaders headers = answer.headers();
        if (answer.status().code() == MISDIRECTED || requestHeaders.isFromOtherEndpoint(headers, endpoint.id())) {
            return false;
        }
        List<String> values = requestHeaders.limits(headers);
        Optional<LimitStatement> statement = LimitStatement.read(values, sentNanos, time.nanos());
        if (statement.isEmpty()) {
            String first = values.get(0);
            Event.of("endpoint-limit-unreadable")
                    .with("endpoint", endpoint.id())
                    .with("value", first.substring(0, Math.min(MAX_LOGGED_CHARS, first.length())))
                    .warn(LOG);
            return false;
        }
        return record(endpoint.id(), endpoint.limit(), statement.get(), "answer");
    }

    /** Records a statement that another router has received from an endpoint. */
    void onReported(String endpoint, LimitStatement statement) {
        record(endpoint, endpoints.limit(endpoint), statement, "router");
    }

    private boolean record(String endpoint, EndpointLimit limit, LimitStatement statement, String source) {
        double before = limit.perSecond();
        boolean changed = limit.record(statement);
        if (changed) {
            metrics.count("endpoint_limit_changes", 1);
            Event.of("endpoint-limit")
                    .with("endpoint", endpoint)
                    .with("per-second", statement.perSecond())
                    .with("before", before)
                    .with("source", source)
                    .info(LOG);
        }
        return changed;
    }
}
