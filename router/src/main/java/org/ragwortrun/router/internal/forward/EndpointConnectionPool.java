package org.ragwortrun.router.internal.forward;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpResponse;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;
import org.ragwortrun.core.time.Time;
import org.ragwortrun.net.Address;
import org.ragwortrun.router.internal.host.TrafficMeter;

/** Pool of connections to one endpoint. The most recently used one is reused first, so that the others can expire. */
final class EndpointConnectionPool {
    /** Cause of a connection attempt that the host of the endpoint refused. */
    static final String REFUSED = "connect-refused";

    private static final String TIMED_OUT = "connect-timeout";
    // Several times the longest latency between two hosts of a region; a full accept queue drops the first packet.
    private static final int CONNECT_TIMEOUT_MS = 400;

    private final EventLoop loop;
    private final Address address;
    private final Time time;
    private final RequestHeaders headers;
    private final ConnectionEvents events;
    private final TrafficMeter traffic;
    private final Deque<EndpointConnection> idle = new ArrayDeque<>();
    private HeadListener headListener = (head, current) -> {};
    private int open;

    EndpointConnectionPool(
            EventLoop loop,
            Address address,
            Time time,
            RequestHeaders headers,
            ConnectionEvents events,
            TrafficMeter traffic) {
        this.loop = loop;
        this.address = address;
        this.time = time;
        this.headers = headers;
        this.events = events;
        this.traffic = traffic;
    }

    /** Receives the heads of answers. */
    interface HeadListener {
        /**
         * Called for the head of each answer, including answers that are dropped.
         *
         * @param current whether it answers the current request; otherwise it may repeat an earlier answer
         */
        void onHead(HttpResponse head, boolean current);
    }

    /** Sets the listener that receives the head of each answer. */
    void setHeadListener(HeadListener listener) {
        headListener = listener;
    }

    void onHead(HttpResponse head, boolean current) {
        headListener.onHead(head, current);
    }

    /** Returns whether a request would need a new connection although the limit is reached. */
    boolean isFull(int maxConnections) {
        return idle.isEmpty() && open >= maxConnections;
    }

    /**
     * Passes an idle connection or a new one to {@code connected}, or the cause to {@code failed} if none can be
     * opened.
     */
    void acquire(Consumer<EndpointConnection> connected, Consumer<String> failed) {
        while (!idle.isEmpty()) {
            EndpointConnection c = idle.pop();
            if (c.isUsable()) {
                connected.accept(c);
                return;
            }
            c.close();
        }
        open(connected, failed);
    }

    /** Opens a connection to check whether the endpoint accepts it, and keeps it for later requests if so. */
    void checkReachable(Runnable accepted, Consumer<String> failed) {
        open(
                c -> {
                    release(c);
                    accepted.run();
                },
                failed);
    }

    private void open(Consumer<EndpointConnection> connected, Consumer<String> failed) {
        EndpointConnection connection = new EndpointConnection(time, headers, events, this);
        open++;
        new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                // Distinguishes the end of an answer from a connection that is closed for another reason.
                .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        traffic.watch(ch.pipeline());
                        connection.addTo(ch.pipeline());
                    }
                })
                .connect(address.host(), address.port())
                .addListener(f -> {
                    if (f.isSuccess()) {
                        connected.accept(connection);
                    } else {
                        open--;
                        failed.accept(
                                f.cause() instanceof io.netty.channel.ConnectTimeoutException ? TIMED_OUT : REFUSED);
                    }
                });
    }

    void release(EndpointConnection connection) {
        idle.push(connection);
    }

    void closed(EndpointConnection connection) {
        open--;
        idle.remove(connection);
    }

    void closeIdle() {
        List<EndpointConnection> all = new ArrayList<>(idle);
        idle.clear();
        all.forEach(EndpointConnection::close);
    }

    void closeExpired() {
        List<EndpointConnection> expired =
                idle.stream().filter(c -> !c.isUsable()).toList();
        idle.removeAll(expired);
        expired.forEach(EndpointConnection::close);
    }
}
