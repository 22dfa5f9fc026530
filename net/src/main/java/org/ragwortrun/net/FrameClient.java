package org.ragwortrun.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFactory;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jspecify.annotations.Nullable;
import org.ragwortrun.core.concurrent.SingleThreadExecutor;
import org.ragwortrun.core.log.Event;
import org.ragwortrun.net.internal.Connection;
import org.ragwortrun.net.internal.FramePipeline;
import org.ragwortrun.proto.Frame;
import org.ragwortrun.proto.Hello;

/**
 * Keeps one connection to another process open and reconnects when it ends.
 *
 * <p>A periodic check opens the connection if there is none. The end of an attempt or of a connection only makes the next
 * attempt come sooner. State changes on one network thread only.
 */
public final class FrameClient implements AutoCloseable {
    private static final Logger LOG = LogManager.getLogger(FrameClient.class);
    private static final long FIRST_BACKOFF_MS = 50;
    // Together with the connect timeout less than 1 s, so that after a network partition neither another lease is lost
    // nor a configuration delayed.
    private static final long MAX_BACKOFF_MS = 400;
    private static final int CONNECT_TIMEOUT_MS = 600;
    private static final long ATTEMPT_TIMEOUT_MS = 2_000;
    private static final long CHECK_INTERVAL_MS = 1_000;

    private final EventLoop loop;
    private final ChannelFactory<Channel> channels;
    private final Supplier<Hello> localHello;
    private final Address address;
    private final FrameHandler handler;
    private final AtomicReference<@Nullable Peer> current = new AtomicReference<>();
    private volatile boolean closed;
    private volatile @Nullable ChannelFuture attempt;
    private long attemptNanos;
    private long nextAttemptNanos = System.nanoTime();
    private long backoffMs = FIRST_BACKOFF_MS;
    private boolean failing;
    private final Future<?> check;

    FrameClient(
            EventLoop loop,
            ChannelFactory<Channel> channels,
            Supplier<Hello> localHello,
            Address address,
            FrameHandler handler) {
        this.loop = loop;
        this.channels = channels;
        this.localHello = localHello;
        this.address = address;
        this.handler = handler;
        check = loop.scheduleWithFixedDelay(
                SingleThreadExecutor.guarded(this::connectIfDisconnected), 0, CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
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
        check.cancel(false);
        closeChannel(attempt);
    }

    private void connectIfDisconnected() {
        long now = System.nanoTime();
        if (closed || loop.isShuttingDown() || now - nextAttemptNanos < 0) {
            return;
        }
        ChannelFuture last = attempt;
        if (last != null && isAlive(last, now)) {
            return;
        }
        attemptNanos = now;
        nextAttemptNanos = now;
        ChannelFuture next = bootstrap().connect(address.host(), address.port());
        attempt = next;
        next.addListener(f -> onAttempted(next));
        closeChannel(last);
        if (closed) {
            closeChannel(next);
        }
    }

    private static void closeChannel(@Nullable ChannelFuture connect) {
        // A channel that could not be created has no event loop to close it.
        if (connect != null && connect.channel().isOpen()) {
            connect.channel().close();
        }
    }

    private boolean isAlive(ChannelFuture last, long now) {
        return last.isDone()
                ? last.isSuccess() && last.channel().isOpen()
                : now - attemptNanos < TimeUnit.MILLISECONDS.toNanos(ATTEMPT_TIMEOUT_MS);
    }

    private Bootstrap bootstrap() {
        return new Bootstrap()
                .group(loop)
                .channelFactory(channels)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        FramePipeline.addCodec(ch.pipeline());
                        ch.pipeline().addLast(new Connection(localHello.get(), new ConnectionTracker(), true));
                    }
                });
    }

    private void onAttempted(ChannelFuture ended) {
        Throwable failure = ended.cause();
        if (failure == null) {
            ended.channel().closeFuture().addListener(f -> reconnectLater());
            return;
        }
        reconnectLater();
        // A peer that cannot be reached is no fault of this process, and its absence shows elsewhere.
        if (!(failure instanceof IOException) && !failing && !closed) {
            failing = true;
            Event.of("connection-not-opened").with("address", address).warn(LOG, failure);
        }
    }

    private void reconnectLater() {
        if (closed || loop.isShuttingDown()) {
            return;
        }
        long delayMs = ThreadLocalRandom.current().nextLong(backoffMs / 2, backoffMs + 1);
        backoffMs = Math.min(MAX_BACKOFF_MS, backoffMs * 2);
        nextAttemptNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(delayMs);
        loop.schedule(SingleThreadExecutor.guarded(this::connectIfDisconnected), delayMs, TimeUnit.MILLISECONDS);
    }

    /** Updates the current connection before it notifies the handler. */
    private final class ConnectionTracker implements FrameHandler {
        @Override
        public void onConnected(Peer peer) {
            backoffMs = FIRST_BACKOFF_MS;
            failing = false;
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
