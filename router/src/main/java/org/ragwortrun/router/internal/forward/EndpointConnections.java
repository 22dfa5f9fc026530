package org.ragwortrun.router.internal.forward;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpResponse;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;
import org.ragwortrun.core.time.Time;
import org.ragwortrun.net.Address;

/** The connections of this router to one endpoint. The one used last is used again first, so that others can expire. */
final class EndpointConnections {
    /** Cause of a connection that the endpoint's host did not let be opened. */
    static final String REFUSED = "connect-refused";

    private static final String TIMED_OUT = "connect-timeout";
    // Several times the longest way between two hosts of a region; a busy accept queue drops the first packet.
    private static final int CONNECT_TIMEOUT_MS = 400;

    private final EventLoop loop;
    private final Address address;
    private final Time time;
    private final RequestHeads heads;
    private final Deque<EndpointConnection> idle = new ArrayDeque<>();
    private Consumer<HttpResponse> listener = h -> {};
    private int open;

    EndpointConnections(EventLoop loop, Address address, Time time, RequestHeads heads) {
        this.loop = loop;
        this.address = address;
        this.time = time;
        this.heads = heads;
    }

    /** Sets who hears of each head of an answer, also of answers that are dropped. */
    void onHeads(Consumer<HttpResponse> heard) {
        listener = heard;
    }

    void heard(HttpResponse head) {
        listener.accept(head);
    }

    /** Tells whether a request would need one connection more than this router may have. */
    boolean isFull(int most) {
        return idle.isEmpty() && open >= most;
    }

    /** Hands over an idle connection, or a new one. Hands over nothing, but the cause, if none can be opened. */
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

    /** Opens a connection to see whether the endpoint takes it, and keeps it for a request if so. */
    void check(Runnable taken, Consumer<String> failed) {
        open(
                c -> {
                    release(c);
                    taken.run();
                },
                failed);
    }

    private void open(Consumer<EndpointConnection> connected, Consumer<String> failed) {
        EndpointConnection connection = new EndpointConnection(time, heads, this);
        open++;
        new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        ch.pipeline().addLast(new HttpClientCodec(), connection);
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
