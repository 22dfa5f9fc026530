package org.ragwortrun.net.internal;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.timeout.IdleState;
import io.netty.handler.timeout.IdleStateEvent;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jspecify.annotations.Nullable;
import org.ragwortrun.core.log.Event;
import org.ragwortrun.net.FrameHandler;
import org.ragwortrun.net.FrameListener;
import org.ragwortrun.net.OpenCall;
import org.ragwortrun.net.Peer;
import org.ragwortrun.net.TransportException;
import org.ragwortrun.proto.Frame;
import org.ragwortrun.proto.Hello;

/** A connection, which matches replies to calls and passes all other frames to the handler. */
public final class Connection extends SimpleChannelInboundHandler<Frame> implements Peer {
    private static final Logger LOG = LogManager.getLogger(Connection.class);

    private final Hello localHello;
    private final FrameHandler handler;
    private final AtomicLong nextCall;
    private final Map<Long, FrameListener> calls = new ConcurrentHashMap<>();
    private volatile @Nullable Channel channel;
    private volatile Hello hello = Hello.getDefaultInstance();
    private volatile boolean helloReceived;
    private volatile long lastFrameNanos = System.nanoTime();

    /**
     * Creates the handler of a connection.
     *
     * @param localHello first frame that this process sends
     * @param handler receiver of requests
     * @param initiator whether this side opened the connection; the initiator uses odd call ids, its peer even ones
     */
    public Connection(Hello localHello, FrameHandler handler, boolean initiator) {
        super(Frame.class);
        this.localHello = localHello;
        this.handler = handler;
        nextCall = new AtomicLong(initiator ? 1 : 2);
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        channel = ctx.channel();
        if (ctx.channel().localAddress().equals(ctx.channel().remoteAddress())) {
            // A connect to an unused local port can connect to itself, which would keep the server from binding the
            // port.
            ctx.close();
            return;
        }
        ctx.writeAndFlush(Frame.newBuilder().setHello(localHello).build());
    }

    /** Sends keep-alive frames on an idle connection and closes it if its peer sends nothing. */
    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) throws Exception {
        if (event instanceof IdleStateEvent idle) {
            if (idle.state() == IdleState.READER_IDLE) {
                Event.of("connection-silent").with("peer", hello.getName()).info(LOG);
                ctx.close();
            } else {
                ctx.writeAndFlush(Frame.getDefaultInstance(), ctx.voidPromise());
            }
            return;
        }
        super.userEventTriggered(ctx, event);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, Frame frame) {
        lastFrameNanos = System.nanoTime();
        if (helloReceived && frame.getCall() == 0 && frame.getBodyCase() == Frame.BodyCase.BODY_NOT_SET) {
            return;
        }
        if (!helloReceived) {
            if (!frame.hasHello()) {
                ctx.close();
                return;
            }
            hello = frame.getHello();
            helloReceived = true;
            handler.onConnected(this);
            return;
        }
        FrameListener listener = frame.getCall() == 0 ? null : calls.get(frame.getCall());
        if (listener != null) {
            listener.onFrame(frame);
        } else {
            handler.onFrame(this, frame);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        TransportException lost = new TransportException(
                TransportException.Kind.CONNECTION_LOST, "connection to " + hello.getName() + " ended");
        calls.keySet().forEach(id -> {
            FrameListener listener = calls.remove(id);
            if (listener != null) {
                listener.onLost(lost);
            }
        });
        if (helloReceived) {
            handler.onClosed(this);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        Event.of("connection-failed").with("peer", hello.getName()).warn(LOG, cause);
        ctx.close();
    }

    @Override
    public long nanosSinceLastFrame() {
        return System.nanoTime() - lastFrameNanos;
    }

    @Override
    public Hello hello() {
        return hello;
    }

    @Override
    public boolean send(Frame frame) {
        Channel c = channel;
        if (c == null || !c.isActive()) {
            return false;
        }
        c.writeAndFlush(frame, c.voidPromise());
        return true;
    }

    @Override
    public CompletableFuture<Frame> call(Frame.Builder request, Duration timeout) {
        CompletableFuture<Frame> reply = new CompletableFuture<>();
        OpenCall open = open(request, new FrameListener() {
            @Override
            public void onFrame(Frame frame) {
                reply.complete(frame);
            }

            @Override
            public void onLost(TransportException cause) {
                reply.completeExceptionally(cause);
            }
        });
        Channel c = channel;
        if (c != null && !reply.isDone()) {
            var timer = c.eventLoop()
                    .schedule(
                            () -> reply.completeExceptionally(new TransportException(
                                    TransportException.Kind.TIMEOUT,
                                    "no reply from " + hello.getName() + " within " + timeout.toMillis() + " ms")),
                            timeout.toMillis(),
                            TimeUnit.MILLISECONDS);
            reply.whenComplete((f, e) -> timer.cancel(false));
        }
        return reply.whenComplete((f, e) -> open.close());
    }

    @Override
    public OpenCall open(Frame.Builder request, FrameListener listener) {
        long id = nextCall.getAndAdd(2);
        calls.put(id, listener);
        OpenCall call = new RegisteredCall(id);
        if (!send(request.setCall(id).build())) {
            if (calls.remove(id) != null) {
                listener.onLost(new TransportException(
                        TransportException.Kind.NOT_SENT, "no connection to " + hello.getName()));
            }
        } else if (!isOpen() && calls.remove(id) != null) {
            listener.onLost(new TransportException(
                    TransportException.Kind.CONNECTION_LOST, "connection to " + hello.getName() + " ended"));
        }
        return call;
    }

    @Override
    public boolean isWritable() {
        Channel c = channel;
        return c != null && c.isWritable();
    }

    @Override
    public boolean isOpen() {
        Channel c = channel;
        return c != null && c.isActive();
    }

    @Override
    public void close() {
        Channel c = channel;
        if (c != null) {
            c.close();
        }
    }

    private final class RegisteredCall implements OpenCall {
        private final long id;

        RegisteredCall(long id) {
            this.id = id;
        }

        @Override
        public boolean send(Frame.Builder frame) {
            return Connection.this.send(frame.setCall(id).build());
        }

        @Override
        public void close() {
            calls.remove(id);
        }
    }
}
