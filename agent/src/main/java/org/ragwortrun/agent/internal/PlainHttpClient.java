package org.ragwortrun.agent.internal;

import java.nio.ByteBuffer;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.jspecify.annotations.Nullable;
import org.ragwortrun.proto.Dispatch;

/**
 * Passes requests to a plain service.
 *
 * <p>If the service recognizes repeated requests by a header, a request whose outcome is unknown is repeated with the
 * same key, a bounded number of times. Otherwise it is sent once.
 */
final class PlainHttpClient implements EndpointClient {
    /** How the outcome of a request is found out. */
    record Repeats(String dedupeHeader, int limit, long pauseMs) {}

    // Headers that belong to one connection, or that HttpCore sets itself.
    private static final Set<String> HOP_HEADERS = Set.of(
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
    private final ScheduledExecutorService timer;
    private final Repeats repeats;

    PlainHttpClient(HttpEndpoint endpoint, ScheduledExecutorService timer, Repeats repeats) {
        this.endpoint = endpoint;
        this.timer = timer;
        this.repeats = repeats;
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
        return !HOP_HEADERS.contains(header.toLowerCase(Locale.ROOT));
    }

    /** One answer, with the repeats that it took. */
    private final class PlainCall implements EndpointCall, HttpExchange.Receiver {
        private Dispatch dispatch;
        private final EndpointListener listener;
        private volatile @Nullable HttpExchange exchange;
        private volatile boolean cancelled;
        private int attempts;
        private boolean sent;
        private boolean answered;

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
            request.setHeader("X-Request-Id", dispatch.getRequestId());
            request.setHeader("X-Route", dispatch.getRoute());
            if (!repeats.dedupeHeader().isEmpty()) {
                request.setHeader(
                        repeats.dedupeHeader(), dispatch.getBudget().getAccount() + "/" + dispatch.getRequestId());
            }
            byte[] body = dispatch.getBody().toByteArray();
            if (repeats.dedupeHeader().isEmpty()) {
                dispatch = dispatch.toBuilder().clearBody().build();
            }
            exchange = endpoint.send(request, body, this);
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
            listener.onEvent(new EndpointEvent.Sent());
        }

        @Override
        public void onHead(int status, List<Header> headers) {
            answered = true;
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
            boolean repeat =
                    sent && !answered && !cancelled && !repeats.dedupeHeader().isEmpty() && attempts <= repeats.limit();
            if (repeat) {
                timer.schedule(this::send, repeats.pauseMs(), TimeUnit.MILLISECONDS);
            } else {
                listener.onEvent(new EndpointEvent.Failed(detail));
            }
        }

        @Override
        public boolean hasRoom() {
            return listener.hasRoom();
        }
    }
}
