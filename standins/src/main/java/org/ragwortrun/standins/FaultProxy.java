package org.ragwortrun.standins;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.ragwortrun.core.log.Event;

/**
 * A TCP proxy that injects faults into the connections between two processes.
 *
 * <p>Faults apply to open and new connections. {@link #heal} removes them. Dropped bytes are not delivered later. If a
 * direction was dropped, {@link #heal} resets all connections, because TCP never delivers a stream with missing bytes.
 */
public final class FaultProxy implements AutoCloseable {
    /** Direction in which a fault applies. */
    public enum Direction {
        TO_SERVER,
        TO_CLIENT
    }

    private static final Logger LOG = LogManager.getLogger(FaultProxy.class);
    private static final int BUFFER_BYTES = 16 << 10;
    private static final int FREEZE_POLL_MS = 2;
    private static final int CONNECT_TIMEOUT_MS = 2_000;

    private final ServerSocket listener;
    private final InetSocketAddress target;
    private final ExecutorService threads = Executors.newCachedThreadPool(task -> {
        Thread t = new Thread(task, "fault-proxy");
        t.setDaemon(true);
        return t;
    });
    private final Set<Link> links = ConcurrentHashMap.newKeySet();
    private final Set<Direction> dropped = ConcurrentHashMap.newKeySet();
    private final AtomicLong forwarded = new AtomicLong();
    private volatile boolean refusing;
    private volatile boolean frozen;
    private volatile int delayMs;
    private volatile long resetAfter = Long.MAX_VALUE;
    private volatile boolean closed;

    private FaultProxy(ServerSocket listener, InetSocketAddress target) {
        this.listener = listener;
        this.target = target;
    }

    /** Starts a proxy in front of a target. */
    public static FaultProxy start(String host, int port, String targetHost, int targetPort) throws IOException {
        ServerSocket socket = new ServerSocket();
        socket.setReuseAddress(true);
        socket.bind(new InetSocketAddress(InetAddress.getByName(host), port));
        FaultProxy proxy = new FaultProxy(socket, new InetSocketAddress(targetHost, targetPort));
        proxy.threads.execute(proxy::accept);
        return proxy;
    }

    public int port() {
        return listener.getLocalPort();
    }

    public String address() {
        return listener.getInetAddress().getHostAddress() + ":" + port();
    }

    /** Closes all connections and refuses new ones. */
    public void disconnect() {
        refusing = true;
        closeLinks();
    }

    /** Stops forwarding bytes but keeps all connections open. */
    public void freeze() {
        frozen = true;
    }

    /** Delays the forwarding of received bytes. */
    public void delay(int ms) {
        delayMs = ms;
    }

    /** Discards all bytes in one direction and keeps the connections open. */
    public void drop(Direction direction) {
        dropped.add(direction);
    }

    /** Resets connections once the given number of further bytes has been forwarded, counted over both directions. */
    public void resetAfter(long bytes) {
        resetAfter = forwarded.get() + bytes;
    }

    /** Removes all faults. */
    public void heal() {
        boolean lostBytes = !dropped.isEmpty();
        refusing = false;
        frozen = false;
        delayMs = 0;
        resetAfter = Long.MAX_VALUE;
        dropped.clear();
        if (lostBytes) {
            closeLinks();
        }
    }

    /** Returns the number of bytes forwarded in both directions. */
    public long forwarded() {
        return forwarded.get();
    }

    public int connections() {
        return links.size();
    }

    @Override
    public void close() throws IOException {
        closed = true;
        listener.close();
        closeLinks();
        threads.shutdownNow();
    }

    private void closeLinks() {
        links.forEach(Link::reset);
    }

    private void accept() {
        while (!closed) {
            try {
                Socket client = listener.accept();
                if (refusing) {
                    client.setSoLinger(true, 0);
                    client.close();
                } else {
                    threads.execute(() -> connect(client));
                }
            } catch (IOException e) {
                if (!closed) {
                    Event.of("accept-failed").warn(LOG, e);
                }
            }
        }
    }

    private void connect(Socket client) {
        Socket server = new Socket();
        Link link = new Link(client, server);
        links.add(link);
        try {
            server.connect(target, CONNECT_TIMEOUT_MS);
            server.setTcpNoDelay(true);
            client.setTcpNoDelay(true);
            threads.execute(() -> link.pump(server, client, Direction.TO_CLIENT));
            link.pump(client, server, Direction.TO_SERVER);
        } catch (IOException e) {
            link.reset();
        }
    }

    /** The two sockets of one proxied connection. */
    private final class Link {
        private final Socket client;
        private final Socket server;

        Link(Socket client, Socket server) {
            this.client = client;
            this.server = server;
        }

        void pump(Socket from, Socket to, Direction direction) {
            byte[] buffer = new byte[BUFFER_BYTES];
            try {
                InputStream in = from.getInputStream();
                OutputStream out = to.getOutputStream();
                while (true) {
                    awaitUnfreeze();
                    int n = in.read(buffer);
                    if (n < 0) {
                        break;
                    }
                    awaitUnfreeze();
                    if (delayMs > 0) {
                        TimeUnit.MILLISECONDS.sleep(delayMs);
                    }
                    if (dropped.contains(direction)) {
                        continue;
                    }
                    int count = (int) Math.min(n, Math.max(0, resetAfter - forwarded.get()));
                    out.write(buffer, 0, count);
                    if (forwarded.addAndGet(count) >= resetAfter) {
                        reset();
                        return;
                    }
                }
                forwardEndOfStream(to, direction);
            } catch (IOException e) {
                reset();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                reset();
            }
        }

        /** Forwards the end of a stream, unless the direction is dropped. */
        private void forwardEndOfStream(Socket to, Direction direction) throws IOException {
            if (!dropped.contains(direction)) {
                to.shutdownOutput();
            }
            if (client.isInputShutdown() || server.isOutputShutdown() && client.isOutputShutdown()) {
                reset();
            }
        }

        private void awaitUnfreeze() throws InterruptedException {
            while (frozen) {
                TimeUnit.MILLISECONDS.sleep(FREEZE_POLL_MS);
            }
        }

        void reset() {
            links.remove(this);
            closeWithReset(client);
            closeWithReset(server);
        }

        private void closeWithReset(Socket socket) {
            try {
                // A linger time of 0 s sends a reset instead of an orderly close.
                if (!socket.isClosed()) {
                    socket.setSoLinger(true, 0);
                }
                socket.close();
            } catch (IOException e) {
                Event.of("close-failed").warn(LOG, e);
            }
        }
    }
}
