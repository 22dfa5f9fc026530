package org.ragwortrun.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.ragwortrun.net.internal.Connection;
import org.ragwortrun.net.internal.FramePipeline;
import org.ragwortrun.proto.Frame;
import org.ragwortrun.proto.Hello;

/** Keeps one connection to another process open and reconnects when it ends. */
public final class FrameClient implements AutoCloseable {
    private static final long FIRST_BACKOFF_MS = 50;
    // Together with the connect timeout less than 1 s, so that after a network partition neither another lease is lost
    // nor a configuration delayed.
    private static final long MAX_BACKOFF_MS = 400;
    private static final int CONNECT_TIMEOUT_MS = 600;

    private final EventLoopGroup loops;
    private final Supplier<Hello> localHello;
    private final Address address;
    private final FrameHandler handler;
    private final AtomicReference<@Nullable Peer> current = new AtomicReference<>();
    private volatile boolean closed;
    private volatile @Nullable Channel channel;
    private long backoffMs = FIRST_BACKOFF_MS;

    FrameClient(EventLoopGroup loops, Supplier<Hello> localHello, Address address, FrameHandler handler) {
        this.loops = loops;
        this.localHello = localHello;
        this.address = address;
        this.handler = handler;
        connect();
    }

    /** Returns the open connection, if there is one. */
    public Optional<Peer> peer() {
        return Optional.ofNullable(current.get()).filter(Peer::isOpen);
    }

    /** Calls the peer. Fails with {@code NOT_SENT} at once if there is no connection. */
    public CompletableFuture<Frame> call(Frame.Builder request, Duration timeout) {
        return peer().map(p -> p.call(request, timeout))
                .orElseGet(() -> CompletableFuture.failedFuture(
                        new TransportException(TransportException.Kind.NOT_SENT, "no connection to " + address)));
    }

    public Address address() {
        return address;
    }

    @Override
    public void close() {
        closed = true;
        Channel c = channel;
        if (c != null) {
            c.close();
        }
    }

    private void connect() {
        if (closed) {
            return;
        }
        Bootstrap bootstrap = new Bootstrap()
                .group(loops)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        FramePipeline.addCodec(ch.pipeline());
                        ch.pipeline().addLast(new Connection(localHello.get(), new ConnectionTracker(), true));
                    }
                });
        ChannelFuture future = bootstrap.connect(address.host(), address.port());
        channel = future.channel();
        future.channel().closeFuture().addListener(f -> reconnectLater());
        if (closed) {
            future.channel().close();
        }
    }

    private void reconnectLater() {
        if (closed || loops.isShuttingDown()) {
            return;
        }
        long delayMs = ThreadLocalRandom.current().nextLong(backoffMs / 2, backoffMs + 1);
        backoffMs = Math.min(MAX_BACKOFF_MS, backoffMs * 2);
        loops.schedule(this::connect, delayMs, TimeUnit.MILLISECONDS);
    }

    /** Updates the current connection before it notifies the handler. */
    private final class ConnectionTracker implements FrameHandler {
        @Override
        public void onConnected(Peer peer) {
            backoffMs = FIRST_BACKOFF_MS;
            current.set(peer);
            handler.onConnected(peer);
        }

        @Override
        public void onFrame(Peer peer, Frame frame) {
            handler.onFrame(peer, frame);
        }

        @Override
        public void onClosed(Peer peer) {
            current.compareAndSet(peer, null);
            handler.onClosed(peer);
        }
    }
}
