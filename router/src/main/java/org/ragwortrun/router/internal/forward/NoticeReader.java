package org.ragwortrun.router.internal.forward;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import java.time.Duration;
import java.util.function.DoubleSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.ragwortrun.core.log.Event;
import org.ragwortrun.core.metrics.Metrics;
import org.ragwortrun.core.time.Time;
import org.ragwortrun.routing.EndpointNotices;

/**
 * Reads from the heads of answers whether endpoints are leaving or ask to get no requests for a time.
 *
 * <p>An endpoint that was leaving is still leaving, but a time that it asked for has begun with the original answer. Times
 * in repeated answers are therefore ignored.
 */
final class NoticeReader {
    private static final Logger LOG = LogManager.getLogger(NoticeReader.class);
    private static final int UNAVAILABLE = 503;
    private static final int MISDIRECTED = 421;
    private static final int MAX_LOGGED_CHARS = 40;

    private final RequestHeaders requestHeaders;
    private final Metrics metrics;
    private final Time time;
    private final DoubleSupplier random;

    /**
     * Creates a reader.
     *
     * @param random random numbers from 0 (inclusive) to 1 (exclusive), which spread the return of several routers
     */
    NoticeReader(RequestHeaders requestHeaders, Metrics metrics, Time time, DoubleSupplier random) {
        this.requestHeaders = requestHeaders;
        this.metrics = metrics;
        this.time = time;
        this.random = random;
    }

    /**
     * Reads the head of an answer on a connection to an endpoint. Ignores one that names another endpoint.
     *
     * @param current whether it answers the current request; otherwise it may repeat an earlier answer
     */
    void read(EndpointState endpoint, HttpResponse answer, boolean current) {
        HttpHeaders headers = answer.headers();
        int status = answer.status().code();
        if (status == MISDIRECTED || requestHeaders.isFromOtherEndpoint(headers, endpoint.id())) {
            return;
        }
        if (requestHeaders.announcesLeaving(headers) && endpoint.notices().onLeaving()) {
            endpoint.connections().closeIdle();
            metrics.count("endpoint_leaving_notices", 1);
            Event.of("endpoint-says-leaving")
                    .with("endpoint", endpoint.id())
                    .with("listed-as-leaving", endpoint.listed().getDraining())
                    .with("in-flight", endpoint.inFlight())
                    .info(LOG);
        }
        String retryAfter = headers.get(HttpHeaderNames.RETRY_AFTER);
        if (current && status == UNAVAILABLE && retryAfter != null) {
            onPauseRequested(endpoint, retryAfter);
        } else if (current && requestHeaders.isNotRun(headers)) {
            endpoint.performance().onRejected(time.nanos());
        }
    }

    private void onPauseRequested(EndpointState endpoint, String retryAfter) {
        Duration asked = EndpointNotices.readSeconds(retryAfter);
        if (asked == null) {
            Event.of("endpoint-pause-unreadable")
                    .with("endpoint", endpoint.id())
                    .with("value", retryAfter.substring(0, Math.min(MAX_LOGGED_CHARS, retryAfter.length())))
                    .warn(LOG);
            return;
        }
        endpoint.notices().onPause(asked, time.nanos(), random.getAsDouble());
        metrics.count("endpoint_pauses", 1);
        Event.of("endpoint-asks-for-time")
                .with("endpoint", endpoint.id())
                .with("asked-ms", asked.toMillis())
                .with("in-flight", endpoint.inFlight())
                .info(LOG);
    }
}
