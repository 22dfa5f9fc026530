package org.ragwortrun.net;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.ragwortrun.proto.Hello;

/** Network threads and {@code Hello} of a process, from which its servers and clients are created. */
public final class Transport implements AutoCloseable {
    private static final long CLOSE_TIMEOUT_MS = 1_000;

    private final EventLoopGroup loops;
    private volatile Hello localHello;

    /**
     * Starts the network threads.
     *
     * @param localHello name, incarnation, role and data center of this process
     * @param threads number of threads; one is enough for a thousand connections
     */
    public Transport(Hello localHello, int threads) {
        this.localHello = localHello;
        loops = new MultiThreadIoEventLoopGroup(
                threads, new DefaultThreadFactory("net", true), NioIoHandler.newFactory());
    }

    /**
     * Listens on an address.
     *
     * @throws TransportException if the address cannot be bound
     */
    public FrameServer listen(Address address, FrameHandler handler) throws TransportException {
        return FrameServer.start(loops, this::localHello, address, handler);
    }

    /** Keeps a connection to an address open, reconnecting with backoff until closed. */
    public FrameClient connect(Address address, FrameHandler handler) {
        return new FrameClient(loops.next(), NioSocketChannel::new, this::localHello, address, handler);
    }

    /** Runs a task, which must not block, on a network thread after a delay. */
    public void schedule(Runnable task, Duration delay) {
        loops.schedule(task, delay.toMillis(), TimeUnit.MILLISECONDS);
    }

    /** Changes the {@code Hello} that this process sends on new connections. */
    public void setLocalHello(Hello hello) {
        localHello = hello;
    }

    public Hello localHello() {
        return localHello;
    }

    @Override
    public void close() {
        loops.shutdownGracefully(0, CLOSE_TIMEOUT_MS, TimeUnit.MILLISECONDS).awaitUninterruptibly(CLOSE_TIMEOUT_MS);
    }
}
