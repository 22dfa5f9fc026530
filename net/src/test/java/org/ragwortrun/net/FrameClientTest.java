package org.ragwortrun.net;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelFactory;
import io.netty.channel.ChannelFuture;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.ragwortrun.core.concurrent.Closer;
import org.ragwortrun.proto.Frame;
import org.ragwortrun.proto.Hello;

final class FrameClientTest {
    private static final Hello HELLO = Hello.newBuilder().setName("test").build();

    private final Closer closer = new Closer();
    private final BlockingQueue<Peer> connected = new LinkedBlockingQueue<>();
    private final AtomicInteger created = new AtomicInteger();
    private final MultiThreadIoEventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private Address address;

    @BeforeEach
    void start() throws TransportException {
        closer.register(() -> loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly(1_000));
        Transport transport = closer.register(new Transport(HELLO, 1));
        FrameServer server = closer.register(transport.listen(new Address("127.0.0.1", 0), (peer, f) -> {}));
        address = new Address("127.0.0.1", server.port());
    }

    @AfterEach
    void stop() {
        closer.close();
    }

    /** Guards against a client that never connects again after it had no descriptor for a socket. */
    @Test
    void reconnectsAfterChannelCouldNotBeCreated() throws Exception {
        connect(() -> {
            if (created.incrementAndGet() <= 2) {
                throw new ChannelException("too many open files");
            }
            return new NioSocketChannel();
        });
        assertThat(awaitConnection()).isNotNull();
    }

    /** Guards against a client that waits forever for a lost notification that its connection has ended. */
    @Test
    void reconnectsAlthoughEndOfConnectionIsNotReported() throws Exception {
        connect(() -> created.incrementAndGet() == 1 ? new SilentChannel() : new NioSocketChannel());
        Peer first = awaitConnection();
        assertThat(first).isNotNull();
        first.close();
        assertThat(awaitConnection()).isNotNull();
    }

    private @Nullable Peer awaitConnection() throws InterruptedException {
        return connected.poll(5, TimeUnit.SECONDS);
    }

    private void connect(ChannelFactory<Channel> channels) {
        closer.register(new FrameClient(loops.next(), channels, () -> HELLO, address, new FrameHandler() {
            @Override
            public void onConnected(Peer peer) {
                connected.add(peer);
            }

            @Override
            public void onFrame(Peer peer, Frame frame) {}
        }));
    }

    /** A channel that does not report its end. */
    private static final class SilentChannel extends NioSocketChannel {
        @Override
        public ChannelFuture closeFuture() {
            return newPromise();
        }
    }
}
