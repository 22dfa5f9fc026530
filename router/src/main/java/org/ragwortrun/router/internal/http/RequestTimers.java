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
 * Closes connections of callers that send too slowly.
 *
 * <p>A connection is closed when its request head is not complete within a limit after its first byte, or when it is
 * idle for too long. A request whose body takes too long is refused. Running requests are not limited here.
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
    private final Map<CallerExchange, Long> bodyStartNanos = new ConcurrentHashMap<>();

    RequestTimers(Time time, int maxConnections, Duration head, Duration body, Duration idle) {
        this.time = time;
        this.maxConnections = maxConnections;
        headNanos = head.toNanos();
        bodyNanos = body.toNanos();
        idleNanos = idle.toNanos();
    }

    void startBodyTimer(CallerExchange exchange) {
        bodyStartNanos.put(exchange, time.nanos());
    }

    void stopBodyTimer(CallerExchange exchange) {
        bodyStartNanos.remove(exchange);
    }

    /** Schedules the connection of a caller to be closed whose incomplete request was refused. */
    void closeAfterLinger(@Nullable SocketAddress remote) {
        Connection c = connection(remote);
        if (c != null) {
            c.closeAfterLinger(time.nanos());
        }
    }

    /** Closes connections and refuses requests over their limits. Called several times within the shortest limit. */
    @Override
    public void run() {
        long now = time.nanos();
        connections.values().forEach(c -> c.closeIfExpired(now));
        List<CallerExchange> expired = bodyStartNanos.entrySet().stream()
                .filter(e -> now - e.getValue() > bodyNanos)
                .map(Map.Entry::getKey)
                .toList();
        expired.forEach(e -> {
            bodyStartNanos.remove(e);
            e.onBodyTimeout();
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
            c.onInput(time.nanos());
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
            c.onHeadComplete();
        }
    }

    @Override
    public void onResponseHead(HttpConnection connection, HttpResponse response) {}

    @Override
    public void onExchangeComplete(HttpConnection connection, boolean keepAlive) {
        Connection c = connection(connection.getRemoteAddress());
        if (c != null) {
            c.onExchangeComplete(time.nanos());
        }
    }

    private @Nullable Connection connection(@Nullable SocketAddress remote) {
        return remote == null ? null : connections.get(remote);
    }

    /** The state of a connection and the time since which it has been in this state. */
    private final class Connection {
        private final IOSession session;
        private boolean readingHead;
        private boolean running;
        private boolean closing;
        private long sinceNanos;

        Connection(IOSession session, long now) {
            this.session = session;
            sinceNanos = now;
        }

        synchronized void onInput(long now) {
            if (!running && !readingHead) {
                readingHead = true;
                sinceNanos = now;
            }
        }

        synchronized void onHeadComplete() {
            running = true;
            readingHead = false;
        }

        synchronized void onExchangeComplete(long now) {
            running = false;
            readingHead = false;
            sinceNanos = now;
        }

        synchronized void closeAfterLinger(long now) {
            closing = true;
            sinceNanos = now;
        }

        synchronized void closeIfExpired(long now) {
            long limit = readingHead ? headNanos : idleNanos;
            boolean expired = closing ? now - sinceNanos > LINGER_NANOS : !running && now - sinceNanos > limit;
            if (expired) {
                session.close(CloseMode.GRACEFUL);
            }
        }
    }
}
