package org.ragwortrun.router.internal.http;

import java.net.InetSocketAddress;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.apache.hc.core5.http.URIScheme;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.bootstrap.AsyncServerBootstrap;
import org.apache.hc.core5.http.impl.bootstrap.HttpAsyncServer;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.IOReactorConfig;
import org.apache.hc.core5.util.TimeValue;
import org.apache.hc.core5.util.Timeout;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.ragwortrun.core.concurrent.SingleThreadExecutor;
import org.ragwortrun.core.log.Event;
import org.ragwortrun.core.time.Time;
import org.ragwortrun.net.Address;
import org.ragwortrun.net.TransportException;
import org.ragwortrun.router.internal.flow.RequestHandler;
import org.ragwortrun.routing.BufferBudget;

/** The HTTP server for callers and the balancer. */
public final class HttpServer implements AutoCloseable {
    private static final Logger LOG = LogManager.getLogger(HttpServer.class);
    private static final long TIMER_PERIOD_MS = 250;
    private static final long BIND_TIMEOUT_S = 5;
    private static final int MAX_LINE = 16 << 10;
    private static final int MAX_HEADERS = 100;
    private static final int SEND_BUFFER = 64 << 10;

    private final HttpAsyncServer server;
    private final int port;

    private HttpServer(HttpAsyncServer server, int port) {
        this.server = server;
        this.port = port;
    }

    /**
     * Starts to listen.
     *
     * @throws TransportException if the address cannot be bound
     */
    public static HttpServer start(
            Address address,
            HttpSettings settings,
            RequestHandler handler,
            ProblemWriter problems,
            ScheduledExecutorService timer,
            Time time)
            throws TransportException {
        RequestTimers timers = new RequestTimers(
                time,
                settings.maxConnections(),
                settings.headTimeout(),
                settings.bodyTimeout(),
                settings.idleTimeout());
        BufferBudget bodyMemory = new BufferBudget(settings.bodyMemory(), settings.bodyMemory());
        HttpAsyncServer server = AsyncServerBootstrap.bootstrap()
                .setIOReactorConfig(IOReactorConfig.custom()
                        .setIoThreadCount(settings.threads())
                        // RequestTimers enforces the timeouts, since a stream may be idle for long.
                        .setSoTimeout(Timeout.DISABLED)
                        .setTcpNoDelay(true)
                        .setSoReuseAddress(true)
                        .setSndBufSize(SEND_BUFFER)
                        .build())
                .setHttp1Config(Http1Config.custom()
                        .setMaxLineLength(MAX_LINE)
                        .setMaxHeaderCount(MAX_HEADERS)
                        .build())
                .setIOSessionListener(timers)
                .setStreamListener(timers)
                .setExceptionCallback(e -> Event.of("http-failure")
                        .with("cause", String.valueOf(e.getMessage()))
                        .debug(LOG))
                .setRequestRouter((request, context) -> () -> switch (String.valueOf(request.getPath())) {
                    case "/livez" -> new ProbeExchange(() -> true);
                    case "/readyz" -> new ProbeExchange(handler::isReady);
                    default -> new CallerExchange(handler, problems, bodyMemory, settings.maxBody(), timers);
                })
                .create();
        server.start();
        int port = bind(server, address);
        SingleThreadExecutor.repeat(timer, timers, TIMER_PERIOD_MS, TIMER_PERIOD_MS);
        return new HttpServer(server, port);
    }

    /** Returns the bound port. */
    public int port() {
        return port;
    }

    /** Closes the connections. All requests must have ended before. */
    @Override
    public void close() {
        server.initiateShutdown();
        try {
            server.awaitShutdown(TimeValue.ofSeconds(1));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        server.close(CloseMode.IMMEDIATE);
    }

    private static int bind(HttpAsyncServer server, Address address) throws TransportException {
        try {
            InetSocketAddress bound = (InetSocketAddress)
                    server.listen(new InetSocketAddress(address.host(), address.port()), URIScheme.HTTP)
                            .get(BIND_TIMEOUT_S, TimeUnit.SECONDS)
                            .getAddress();
            return bound.getPort();
        } catch (ExecutionException | TimeoutException e) {
            server.close(CloseMode.IMMEDIATE);
            throw new TransportException(TransportException.Kind.NOT_SENT, "cannot listen on " + address, e);
        } catch (InterruptedException e) {
            server.close(CloseMode.IMMEDIATE);
            Thread.currentThread().interrupt();
            throw new TransportException(TransportException.Kind.NOT_SENT, "interrupted", e);
        }
    }
}
