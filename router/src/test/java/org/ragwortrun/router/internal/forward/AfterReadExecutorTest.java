package org.ragwortrun.router.internal.forward;

import static com.google.common.truth.Truth.assertThat;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SingleThreadEventLoop;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;

/** Checks that a task sees a close that arrives while the event loop is busy. */
final class AfterReadExecutorTest {
    private static final long TIMEOUT_S = 10;
    private static final long CLOSE_ARRIVAL_MS = 200;

    private final BlockingQueue<Boolean> seen = new LinkedBlockingQueue<>();
    private final AtomicReference<Channel> connection = new AtomicReference<>();
    private final CountDownLatch accepted = new CountDownLatch(1);

    /** Guards against forwarding a request although its caller's close has arrived at this host but is not yet read. */
    @Test
    void runsTaskAfterPendingCloseIsRead() throws Exception {
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try {
            SingleThreadEventLoop loop = (SingleThreadEventLoop) group.next();
            AfterReadExecutor executor = new AfterReadExecutor(loop);
            CountDownLatch busy = new CountDownLatch(1);
            CountDownLatch release = new CountDownLatch(1);
            try (Socket caller = new Socket()) {
                caller.connect(listen(group));
                accepted.await(TIMEOUT_S, TimeUnit.SECONDS);
                loop.execute(() -> {
                    executor.execute(() -> seen.add(connection.get().isActive()));
                    busy.countDown();
                    await(release);
                });
                busy.await(TIMEOUT_S, TimeUnit.SECONDS);
            }
            TimeUnit.MILLISECONDS.sleep(CLOSE_ARRIVAL_MS);
            release.countDown();
            assertThat(seen.poll(TIMEOUT_S, TimeUnit.SECONDS)).isFalse();
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
        }
    }

    private InetSocketAddress listen(MultiThreadIoEventLoopGroup group) {
        return (InetSocketAddress) new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .childHandler(new ChannelInboundHandlerAdapter() {
                    @Override
                    public void channelActive(ChannelHandlerContext ctx) {
                        connection.set(ctx.channel());
                        accepted.countDown();
                    }
                })
                .bind("127.0.0.1", 0)
                .syncUninterruptibly()
                .channel()
                .localAddress();
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await(TIMEOUT_S, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
