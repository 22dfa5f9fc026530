package org.ragwortrun.router.internal.http;

import java.net.SocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.apache.hc.core5.http.HttpConnection;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.impl.Http1StreamListener;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.reactor.IOSessionListener;
import org.jspecify.annotations.Nullable;
import org.ragwortrun.core.time.Time;

/**
 * Ends connections whose callers send too slowly.
 *
 * <p>A connection is closed when its request head has not arrived within a limit after its first byte, or when it is
 * idle for long. A body that takes too long is refused. While a request runs there is no limit here.
 */
final class RequestTimers implements IOSessionListener, Http1StreamListener, Runnable {
    // Gives the caller time to read a refusal before the unread rest of its request resets the connection.
    private static final long LINGER_NANOS = 1_000_000_000L;

    private final Time time;
    private final int maxConnections;
    private final long headNanos;
    private final long bodyNanos;
    private final long idleNanos;
    private final Map<SocketAddress, Connection> connections = new ConcurrentHashMap<>();
    private final Map<CallerExchange, Long> bodies = new ConcurrentHashMap<>();

    RequestTimers(Time time, int maxConnections, Duration head, Duration bodyLimit, Duration idle) {
        this.time = time;
        this.maxConnections = maxConnections;
        headNanos = head.toNanos();
        bodyNanos = bodyLimit.toNanos();
        idleNanos = idle.toNanos();
    }

    void bodyStarted(CallerExchange exchange) {
        bodies.put(exchange, time.nanos());
    }

    void bodyEnded(CallerExchange exchange) {
        bodies.remove(exchange);
    }

    /** Closes the connection of a caller that was refused before its request was whole. */
    void closeSoon(@Nullable SocketAddress remote) {
        Connection c = connection(remote);
        if (c != null) {
            c.closeSoon(time.nanos());
        }
    }

    /** Ends what is over its limit. To be called several times within the shortest limit. */
    @Override
    public void run() {
        long now = time.nanos();
        connections.values().forEach(c -> c.check(now));
        List<CallerExchange> late = bodies.entrySet().stream()
                .filter(e -> now - e.getValue() > bodyNanos)
                .map(Map.Entry::getKey)
                .toList();
        late.forEach(e -> {
            bodies.remove(e);
            e.bodyTimedOut();
        });
    }

    @Override
    public void connected(IOSession session) {
        SocketAddress remote = session.getRemoteAddress();
        if (connections.size() >= maxConnections) {
            session.close(CloseMode.IMMEDIATE);
        } else if (remote != null) {
            connections.put(remote, new Connection(session, time.nanos()));
        }
    }

    @Override
    public void startTls(IOSession session) {}

    @Override
    public void inputReady(IOSession session) {
        Connection c = connection(session.getRemoteAddress());
        if (c != null) {
            c.input(time.nanos());
        }
    }

    @Override
    public void outputReady(IOSession session) {}

    @Override
    public void timeout(IOSession session) {}

    @Override
    public void exception(IOSession session, Exception cause) {}

    @Override
    public void disconnected(IOSession session) {
        SocketAddress remote = session.getRemoteAddress();
        if (remote != null) {
            connections.remove(remote);
        }
    }

    @Override
    public void onRequestHead(HttpConnection connection, HttpRequest request) {
        Connection c = connection(connection.getRemoteAddress());
        if (c != null) {
            c.headComplete();
        }
    }

    @Override
    public void onResponseHead(HttpConnection connection, HttpResponse response) {}

    @Override
    public void onExchangeComplete(HttpConnection connection, boolean keepAlive) {
        Connection c = connection(connection.getRemoteAddress());
        if (c != null) {
            c.exchangeComplete(time.nanos());
        }
    }

    private @Nullable Connection connection(@Nullable SocketAddress remote) {
        return remote == null ? null : connections.get(remote);
    }

    /** What a connection waits for. */
    private final class Connection {
        private final IOSession session;
        private boolean readingHead;
        private boolean running;
        private boolean closing;
        private long since;

        Connection(IOSession session, long now) {
            this.session = session;
            since = now;
        }

        synchronized void input(long now) {
            if (!running && !readingHead) {
                readingHead = true;
                since = now;
            }
        }

        synchronized void headComplete() {
            running = true;
            readingHead = false;
        }

        synchronized void exchangeComplete(long now) {
            running = false;
            readingHead = false;
            since = now;
        }

        synchronized void closeSoon(long now) {
            closing = true;
            since = now;
        }

        synchronized void check(long now) {
            long limit = readingHead ? headNanos : idleNanos;
            boolean over = closing ? now - since > LINGER_NANOS : !running && now - since > limit;
            if (over) {
                session.close(CloseMode.GRACEFUL);
            }
        }
    }
}
