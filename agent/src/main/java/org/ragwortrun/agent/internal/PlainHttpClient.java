package org.ragwortrun.agent.internal;

import java.nio.ByteBuffer;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jspecify.annotations.Nullable;
import org.ragwortrun.core.log.Event;
import org.ragwortrun.core.time.Time;
import org.ragwortrun.proto.Dispatch;

/**
 * Forwards requests to a plain service.
 *
 * <p>If the service deduplicates requests by a header, a request whose outcome is unknown is retried with the same key, up
 * to a maximum number of times. Otherwise it is sent once.
 */
final class PlainHttpClient implements EndpointClient {
    private static final Logger LOG = LogManager.getLogger(PlainHttpClient.class);

    /** How a request with unknown outcome is retried. An empty header means no retries. */
    record RetryPolicy(String dedupeHeader, int maxRetries, long delayMs) {}

    // Hop-by-hop headers and headers that HttpCore sets itself.
    private static final Set<String> DROPPED_HEADERS = Set.of(
            "connection",
            "keep-alive",
            "proxy-authenticate",
            "proxy-authorization",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "content-length",
            "host",
            "expect");

    private final HttpEndpoint endpoint;
    private final EndpointLimitGate limit;
    private final ScheduledExecutorService timer;
    private final Time time;
    private final RetryPolicy retryPolicy;

    PlainHttpClient(
            HttpEndpoint endpoint,
            EndpointLimitGate limit,
            ScheduledExecutorService timer,
            Time time,
            RetryPolicy repeats) {
        this.endpoint = endpoint;
        this.limit = limit;
        this.timer = timer;
        this.time = time;
        this.retryPolicy = repeats;
    }

    @Override
    public boolean isText() {
        return false;
    }

    @Override
    public EndpointCall start(Dispatch dispatch, EndpointListener listener) {
        PlainCall call = new PlainCall(dispatch, listener);
        call.send();
        return call;
    }

    private static boolean isEndToEnd(String header) {
        return !DROPPED_HEADERS.contains(header.toLowerCase(Locale.ROOT));
    }

    /** One request with its retries. */
    private final class PlainCall implements EndpointCall, HttpExchange.Receiver {
        private Dispatch dispatch;
        private final EndpointListener listener;
        private volatile @Nullable HttpExchange exchange;
        private volatile boolean cancelled;
        private int attempts;
        private boolean sent;
        private boolean answered;
        private volatile long sentNanos;

        PlainCall(Dispatch dispatch, EndpointListener listener) {
            this.dispatch = dispatch;
            this.listener = listener;
        }

        void send() {
            attempts++;
            BasicHttpRequest request = endpoint.request(dispatch.getMethod(), dispatch.getPath());
            dispatch.getHeadersList().stream()
                    .filter(h -> isEndToEnd(h.getName()))
                    .forEach(h -> request.addHeader(h.getName(), h.getValue()));
            request.setHeader(SentRequestIds.HEADER, dispatch.getRequestId());
            request.setHeader("X-Route", dispatch.getRoute());
            if (!retryPolicy.dedupeHeader().isEmpty()) {
                request.setHeader(
                        retryPolicy.dedupeHeader(), dispatch.getBudget().getAccount() + "/" + dispatch.getRequestId());
            }
            byte[] body = dispatch.getBody().toByteArray();
            if (retryPolicy.dedupeHeader().isEmpty()) {
                dispatch = dispatch.toBuilder().clearBody().build();
            }
            exchange = endpoint.send(request, body, this);
        }

        /** Sends the request again. An unexpected failure ends the call, since nothing else would. */
        @SuppressWarnings("PMD.AvoidCatchingGenericException")
        private void sendAgain() {
            try {
                sendWithinLimit();
            } catch (RuntimeException | Error e) {
                listener.onEvent(new EndpointEvent.Failed(
                        "the retry failed: " + e.getClass().getSimpleName()));
                Event.of("retry-failed")
                        .with("request", dispatch.getRequestId())
                        .error(LOG, e);
            }
        }

        /** Sends the request once the endpoint's limit allows it. */
        private void sendWithinLimit() {
            if (cancelled) {
                listener.onEvent(new EndpointEvent.Failed("cancelled"));
            } else if (limit.tryTake()) {
                send();
            } else {
                timer.schedule(this::sendAgain, limit.waitBehind(0).toNanos(), TimeUnit.NANOSECONDS);
            }
        }

        @Override
        public void cancel() {
            cancelled = true;
            HttpExchange e = exchange;
            if (e != null) {
                e.abort();
            }
        }

        @Override
        public void readMore() {
            HttpExchange e = exchange;
            if (e != null) {
                e.readMore();
            }
        }

        @Override
        public void onSent() {
            sent = true;
            sentNanos = time.nanos();
            listener.onEvent(new EndpointEvent.Sent());
        }

        @Override
        public void onHead(int status, List<Header> headers) {
            answered = true;
            limit.onAnswer(headers, sentNanos);
            listener.onEvent(new EndpointEvent.Head(
                    status,
                    headers.stream()
                            .filter(h -> isEndToEnd(h.getName()))
                            .map(h -> org.ragwortrun.proto.Header.newBuilder()
                                    .setName(h.getName())
                                    .setValue(h.getValue())
                                    .build())
                            .toList()));
        }

        @Override
        public void onData(ByteBuffer data) {
            byte[] copy = new byte[data.remaining()];
            data.get(copy);
            listener.onEvent(new EndpointEvent.Output(copy, false, 0, 0, false));
        }

        @Override
        public void onEnd() {
            listener.onEvent(new EndpointEvent.End());
        }

        @Override
        public void onFailed(String detail) {
            boolean retry = sent
                    && !answered
                    && !cancelled
                    && !retryPolicy.dedupeHeader().isEmpty()
                    && attempts <= retryPolicy.maxRetries();
            if (retry) {
                timer.schedule(this::sendAgain, retryPolicy.delayMs(), TimeUnit.MILLISECONDS);
            } else {
                listener.onEvent(new EndpointEvent.Failed(detail));
            }
        }

        @Override
        public boolean shouldKeepReading() {
            listener.onPaused();
            return false;
        }
    }
}
