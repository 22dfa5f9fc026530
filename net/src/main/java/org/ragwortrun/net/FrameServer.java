package org.ragwortrun.net;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;
import java.util.function.Supplier;
import org.ragwortrun.net.internal.Connection;
import org.ragwortrun.net.internal.FramePipeline;
import org.ragwortrun.proto.Hello;

/** Accepts connections of other processes. */
public final class FrameServer implements AutoCloseable {
    private final Channel channel;
    private final ChannelGroup accepted;

    private FrameServer(Channel channel, ChannelGroup accepted) {
        this.channel = channel;
        this.accepted = accepted;
    }

    static FrameServer start(EventLoopGroup loops, Supplier<Hello> localHello, Address address, FrameHandler handler)
            throws TransportException {
        ChannelGroup accepted = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(loops)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        accepted.add(ch);
                        FramePipeline.addCodec(ch.pipeline());
                        ch.pipeline().addLast(new Connection(localHello.get(), handler, false));
                    }
                });
        ChannelFuture bound = bootstrap.bind(address.host(), address.port()).awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new TransportException(
                    TransportException.Kind.NOT_SENT, "cannot listen on " + address, bound.cause());
        }
        return new FrameServer(bound.channel(), accepted);
    }

    /** Returns the bound port. */
    public int port() {
        return ((InetSocketAddress) channel.localAddress()).getPort();
    }

    /** Closes the accepted connections, so that peers reconnect. */
    public void disconnect() {
        accepted.close();
    }

    /** Stops listening and closes the accepted connections. */
    @Override
    public void close() {
        channel.close().awaitUninterruptibly();
        accepted.close().awaitUninterruptibly();
    }
}
