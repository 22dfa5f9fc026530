package org.ragwortrun.net;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.util.concurrent.TimeUnit;
import org.ragwortrun.proto.Hello;

/** The network threads of a process and how it introduces itself. Servers and clients are made from it. */
public final class Transport implements AutoCloseable {
    private static final long CLOSE_TIMEOUT_MS = 1_000;

    private final EventLoopGroup loops;
    private volatile Hello own;

    /**
     * Starts the network threads.
     *
     * @param own name, incarnation, role and data center of this process
     * @param threads number of threads; one serves a thousand connections
     */
    public Transport(Hello own, int threads) {
        this.own = own;
        loops = new MultiThreadIoEventLoopGroup(
                threads, new DefaultThreadFactory("net", true), NioIoHandler.newFactory());
    }

    /**
     * Listens on an address.
     *
     * @throws TransportException if the address cannot be bound
     */
    public FrameServer listen(Address address, FrameHandler handler) throws TransportException {
        return FrameServer.start(loops, this::own, address, handler);
    }

    /** Keeps a connection to an address open, reconnecting with backoff until closed. */
    public FrameClient connect(Address address, FrameHandler handler) {
        return new FrameClient(loops, this::own, address, handler);
    }

    /** Changes how this process introduces itself on connections that are opened from now on. */
    public void introduceAs(Hello hello) {
        own = hello;
    }

    public Hello own() {
        return own;
    }

    @Override
    public void close() {
        loops.shutdownGracefully(0, CLOSE_TIMEOUT_MS, TimeUnit.MILLISECONDS).awaitUninterruptibly(CLOSE_TIMEOUT_MS);
    }
}
