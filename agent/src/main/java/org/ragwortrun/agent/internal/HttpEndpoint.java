package org.ragwortrun.agent.internal;

import java.net.URI;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.apache.hc.core5.concurrent.FutureCallback;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.bootstrap.AsyncRequesterBootstrap;
import org.apache.hc.core5.http.impl.bootstrap.HttpAsyncRequester;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.apache.hc.core5.http.nio.AsyncClientEndpoint;
import org.apache.hc.core5.http.protocol.HttpCoreContext;
import org.apache.hc.core5.http.protocol.HttpProcessorBuilder;
import org.apache.hc.core5.http.protocol.RequestConnControl;
import org.apache.hc.core5.http.protocol.RequestContent;
import org.apache.hc.core5.http.protocol.RequestTargetHost;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.IOReactorConfig;
import org.apache.hc.core5.util.Timeout;

/**
 * HTTP connections to the endpoint, served by one thread.
 *
 * <p>Each request uses a new connection: if the endpoint closes a reused connection just as a request is sent, it is
 * unknown whether the request ran. Requests are sent without {@code Expect: 100-continue}, which the requester adds by
 * default and which costs a round trip.
 */
final class HttpEndpoint implements AutoCloseable {
    /** Answer to a request of the agent itself, such as a health check. Status 0 means that the request failed. */
    record Reply(int status, String body) {}

    private static final int MAX_CONNECTIONS = 4_096;
    private static final int MAX_REPLY_BYTES = 64 << 10;
    private static final int MAX_LINE_BYTES = 16 << 10;
    private static final int MAX_HEADERS = 200;

    private final HttpHost host;
    private final HttpAsyncRequester requester;
    private final Timeout connectTimeout;
    private final SentRequestIds sentIds = new SentRequestIds();

    HttpEndpoint(URI url, Duration connectTimeout, Duration idleTimeout) {
        host = new HttpHost(url.getScheme(), url.getHost(), url.getPort());
        this.connectTimeout = Timeout.of(connectTimeout);
        requester = AsyncRequesterBootstrap.bootstrap()
                .setIOReactorConfig(IOReactorConfig.custom()
                        .setIoThreadCount(1)
                        .setTcpNoDelay(true)
                        .setSoTimeout(Timeout.of(idleTimeout))
                        .build())
                .setIOSessionDecorator(
                        session -> new PausableSession(session, Timeout.of(idleTimeout), new StatusLineCheck()))
                .setHttp1Config(Http1Config.custom()
                        .setInitialWindowSize(HttpExchange.WINDOW_BYTES)
                        .setMaxLineLength(MAX_LINE_BYTES)
                        .setMaxHeaderCount(MAX_HEADERS)
                        .build())
                .setStreamListener(new InterimResponseLimit())
                .setHttpProcessor(HttpProcessorBuilder.create()
                        .addAll(new RequestTargetHost(), new RequestContent(), new RequestConnControl())
                        .build())
                .setConnectionReuseStrategy((request, response, context) -> false)
                .setDefaultMaxPerRoute(MAX_CONNECTIONS)
                .setMaxTotal(MAX_CONNECTIONS)
                .create();
        requester.start();
    }

    BasicHttpRequest request(String method, String path) {
        BasicHttpRequest request = new BasicHttpRequest(method, host, path);
        request.setHeader(HttpHeaders.CONNECTION, "close");
        return request;
    }

    /** Sends a request once. */
    HttpExchange send(BasicHttpRequest request, byte[] body, HttpExchange.Receiver receiver) {
        HttpExchange exchange = new HttpExchange(request, body, receiver, sentIds);
        // The requester's execute method produces the request before it connects, so it would not show whether any byte
        // can have been sent.
        requester.connect(host, connectTimeout, null, new FutureCallback<>() {
            @Override
            public void completed(AsyncClientEndpoint connection) {
                exchange.setConnection(connection);
                connection.execute(exchange, HttpCoreContext.create());
            }

            @Override
            public void failed(Exception cause) {
                exchange.failed(cause);
            }

            @Override
            public void cancelled() {
                exchange.cancel();
            }
        });
        return exchange;
    }

    /** Sends a request of the agent itself. The future never completes exceptionally; a failure has status 0. */
    CompletableFuture<Reply> call(String method, String path, byte[] body) {
        CompletableFuture<Reply> reply = new CompletableFuture<>();
        BasicHttpRequest request = request(method, path);
        if (body.length > 0) {
            request.setHeader(HttpHeaders.CONTENT_TYPE, "application/json");
        }
        send(request, body, new ReplyCollector(reply));
        return reply;
    }

    @Override
    public void close() {
        requester.close(CloseMode.IMMEDIATE);
    }

    private static final class ReplyCollector implements HttpExchange.Receiver {
        private final CompletableFuture<Reply> reply;
        private final StringBuilder text = new StringBuilder();
        private int status;

        ReplyCollector(CompletableFuture<Reply> reply) {
            this.reply = reply;
        }

        @Override
        public void onSent() {
            // Only the answer is needed.
        }

        @Override
        public void onHead(int answerStatus, List<Header> headers) {
            status = answerStatus;
        }

        @Override
        public void onData(ByteBuffer data) {
            if (text.length() < MAX_REPLY_BYTES) {
                text.append(StandardCharsets.UTF_8.decode(data));
            }
        }

        @Override
        public void onEnd() {
            reply.complete(new Reply(status, text.toString()));
        }

        @Override
        public void onFailed(String detail) {
            reply.complete(new Reply(0, detail));
        }

        @Override
        public boolean shouldKeepReading() {
            return true;
        }
    }
}
