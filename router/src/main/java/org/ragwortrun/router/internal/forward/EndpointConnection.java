package org.ragwortrun.router.internal.forward;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.ragwortrun.core.time.Time;

/**
 * One connection to an endpoint, which serves one request at a time.
 *
 * <p>An answer with the id of another request is read and dropped, and the connection is not reused. An answer without
 * an id is accepted only as a refusal or failure of the first request on the connection, because it may be a copy of an
 * earlier one. Data that arrives while no request waits for an answer closes the connection, and so do too many bytes
 * that are no part of its answer. An answer without a length is complete only if the endpoint has ended its output.
 */
final class EndpointConnection extends SimpleChannelInboundHandler<HttpObject> {
    private static final long MAX_UNDECODED_BYTES = 64 << 10;
    // The body of a refusal is short and immediately follows its head.
    private static final long SKIP_TIMEOUT_MS = 1_000;

    private final Time time;
    private final RequestHeaders headers;
    private final ConnectionEvents events;
    private final EndpointConnectionPool pool;
    private final JoinedAnswers joinedAnswers;
    private final AnswerDecoder decoder = new AnswerDecoder(this::isAnswerToHead);
    private @Nullable Channel channel;
    private @Nullable AnswerListener listener;
    private String requestId = "";
    private SkippedData skipped;
    private boolean reusable = true;
    private boolean skipping;
    private int dropped;
    private long undecodedBytes;
    private int requests;
    private boolean headRequested;
    private boolean headSeen;
    private @Nullable HttpResponse latestHead;
    private boolean failed;
    private boolean inputEnded;
    private boolean written;
    private long usableUntilNanos;
    private @Nullable ScheduledFuture<?> skipTimeout;

    EndpointConnection(Time time, RequestHeaders headers, ConnectionEvents events, EndpointConnectionPool pool) {
        super(HttpObject.class);
        this.time = time;
        this.headers = headers;
        this.events = events;
        this.pool = pool;
        joinedAnswers = new JoinedAnswers(headers);
        skipped = new SkippedData(headers.idHeader(), requestId);
    }

    /** Stores the channel here because the connect future completes before {@code channelActive} is called. */
    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        channel = ctx.channel();
        usableUntilNanos = time.nanos() + KeepAliveTime.DEFAULT_NANOS;
    }

    /** Returns whether the connection is open and its endpoint will not close it soon. */
    boolean isUsable() {
        Channel c = channel;
        return c != null && c.isActive() && reusable && usableUntilNanos - time.nanos() > 0;
    }

    /** Adds this connection and its codec to the pipeline of a new channel. */
    void addTo(ChannelPipeline pipeline) {
        pipeline.addLast(receivedBytesGuard(), decoder, new HttpRequestEncoder(), this);
    }

    /**
     * Returns a handler in front of the decoder, which closes the connection if the decoder gets bytes without end, or
     * bytes that no request waits for, and notes whether the endpoint has ended its output.
     */
    private ChannelHandler receivedBytesGuard() {
        return new ChannelInboundHandlerAdapter() {
            @Override
            public void channelRead(ChannelHandlerContext ctx, Object bytes) {
                if (isIdle()) {
                    // Undecoded, the bytes would become the beginning of the answer to the next request.
                    ReferenceCountUtil.release(bytes);
                    onUnexpected(ctx);
                    return;
                }
                undecodedBytes += bytes instanceof ByteBuf b ? b.readableBytes() : 0;
                ctx.fireChannelRead(bytes);
                if (undecodedBytes > MAX_UNDECODED_BYTES) {
                    fail(ctx, "endless-answer");
                }
            }

            @Override
            public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
                boolean ended = event instanceof ChannelInputShutdownEvent;
                if (ended) {
                    inputEnded = true;
                    reusable = false;
                }
                ctx.fireUserEventTriggered(event);
                if (ended) {
                    ctx.close();
                }
            }

            @Override
            public void channelInactive(ChannelHandlerContext ctx) {
                // The decoder takes this for the end of an answer without a length, even after a failed write.
                failed |= !inputEnded;
                ctx.fireChannelInactive();
            }
        };
    }

    /** Sends a request. The body is released once it is written. */
    void send(HttpRequest head, ByteBuf body, String id, AnswerListener answers) {
        Channel c = channel;
        if (c == null) {
            body.release();
            answers.onBroken("not-connected");
            return;
        }
        listener = answers;
        requestId = id;
        skipped = new SkippedData(headers.idHeader(), id);
        headRequested = head.method().equals(HttpMethod.HEAD);
        if (headRequested) {
            // A copy of its answer could not be separated from the next answer: it names the length of a body that it
            // does not have.
            reusable = false;
        }
        requests++;
        dropped = 0;
        undecodedBytes = 0;
        headSeen = false;
        latestHead = null;
        written = false;
        c.write(head, c.voidPromise());
        c.writeAndFlush(new DefaultLastHttpContent(body)).addListener(f -> written = f.isSuccess());
    }

    /** Describes the connection and what has arrived on it since the latest request was sent. */
    ConnectionTrace trace() {
        Channel c = channel;
        int port = c != null && c.localAddress() instanceof InetSocketAddress a ? a.getPort() : 0;
        HttpResponse head = latestHead;
        return new ConnectionTrace(
                port,
                requests,
                dropped,
                head == null ? 0 : head.status().code(),
                head == null ? "" : headers.proof(head.headers()));
    }

    /** Stops or resumes reading, while the caller reads more slowly than the endpoint sends. */
    void setReading(boolean reading) {
        Channel c = channel;
        if (c != null) {
            c.config().setAutoRead(reading);
        }
    }

    /**
     * Discards the rest of an answer of which only the head is needed. The connection is reused afterwards, or closed
     * if the rest does not arrive in time.
     */
    void discardRest() {
        listener = null;
        skipping = true;
        Channel c = channel;
        if (c != null) {
            skipTimeout = c.eventLoop().schedule(this::close, SKIP_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        }
    }

    /** Closes the connection, so that the endpoint cancels the request that it runs. */
    void close() {
        listener = null;
        reusable = false;
        Channel c = channel;
        if (c != null) {
            c.close();
        }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject part) {
        undecodedBytes = 0;
        AnswerListener l = listener;
        if (isIdle()) {
            onUnexpected(ctx);
            return;
        }
        if (part.decoderResult().isFailure()) {
            fail(ctx, "not-an-answer");
            return;
        }
        if (part instanceof HttpResponse head && !headers.isForOtherRequest(head.headers(), requestId)) {
            latestHead = head;
        }
        if (isJoined(part)) {
            onJoined(ctx);
            return;
        }
        if (part instanceof HttpResponse head) {
            if (head.status().code() == HttpResponseStatus.SWITCHING_PROTOCOLS.code()) {
                // No request asks for another protocol, and what follows is not decoded.
                fail(ctx, "not-an-answer");
                return;
            }
            pool.onHead(head, l != null && isCurrent(head));
        }
        if (part instanceof HttpResponse head && l != null) {
            onHead(ctx, head, l);
        }
        if (part instanceof HttpContent content) {
            onContent(ctx, content);
        }
    }

    private void onJoined(ChannelHandlerContext ctx) {
        events.onJoined();
        fail(ctx, "joined-answers");
    }

    private boolean isJoined(HttpObject part) {
        return part instanceof HttpResponse head && joinedAnswers.isJoined(head)
                || part instanceof LastHttpContent end && joinedAnswers.isJoined(end);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        AnswerListener l = listener;
        if (l != null) {
            l.onReadComplete();
        }
    }

    /** Returns whether an answer is certainly not the copy of an answer to an earlier request. */
    private boolean isCurrent(HttpResponse head) {
        return !headers.isForOtherRequest(head.headers(), requestId)
                && (requests == 1 || headers.namesRequest(head.headers()));
    }

    private void onHead(ChannelHandlerContext ctx, HttpResponse head, AnswerListener l) {
        boolean interim = head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
        boolean forOtherRequest = headers.isForOtherRequest(head.headers(), requestId);
        skipping = interim || forOtherRequest;
        if (forOtherRequest) {
            reusable = false;
            onDropped(ctx, head);
        }
        if (skipping) {
            skipped.addHead();
            return;
        }
        boolean idIsOptional = requests == 1 && head.status().codeClass() != HttpStatusClass.SUCCESS;
        if (!idIsOptional && !headers.namesRequest(head.headers())) {
            fail(ctx, "answer-without-id");
            return;
        }
        headSeen = true;
        if (!HttpUtil.isKeepAlive(head)) {
            reusable = false;
        }
        usableUntilNanos = time.nanos() + KeepAliveTime.nanos(head);
        l.onHead(head);
    }

    /** Returns whether no data may arrive, because no request waits and no rest of an answer is discarded. */
    private boolean isIdle() {
        return listener == null && !skipping;
    }

    private boolean isAnswerToHead(HttpResponse head) {
        return headRequested && !headers.isForOtherRequest(head.headers(), requestId);
    }

    /** Closes the connection because it received data while no request waited for an answer. */
    private void onUnexpected(ChannelHandlerContext ctx) {
        if (reusable) {
            events.onUnexpected(trace(), ctx.channel());
        }
        fail(ctx, "not-an-answer");
    }

    private void onDropped(ChannelHandlerContext ctx, HttpResponse head) {
        dropped++;
        String answeredId = String.valueOf(head.headers().get(headers.idHeader()));
        events.onDropped(
                trace(), ctx.channel(), requestId, answeredId, head.status().code());
    }

    private void onContent(ChannelHandlerContext ctx, HttpContent content) {
        if (skipping) {
            skip(ctx, content);
            return;
        }
        AnswerListener l = listener;
        if (headSeen && l != null && content.content().isReadable()) {
            l.onBody(content.content());
        }
        if (!(content instanceof LastHttpContent)) {
            return;
        }
        // A body without a length is not complete if the connection was closed before the endpoint ended its output.
        l = listener;
        if (failed || l == null) {
            return;
        }
        listener = null;
        releaseOrClose(ctx);
        l.onEnd();
    }

    /** Discards data that belongs to no waiting request, up to a limit because the body may be endless. */
    private void skip(ChannelHandlerContext ctx, HttpContent content) {
        skipped.addBody(content.content());
        if (skipped.isEndless()) {
            fail(ctx, "endless-answer");
        } else if (listener != null && skipped.containsAwaitedAnswer()) {
            onJoined(ctx);
        } else if (content instanceof LastHttpContent) {
            skipping = false;
            if (listener == null) {
                cancelSkipTimeout();
                releaseOrClose(ctx);
            }
        }
    }

    private void cancelSkipTimeout() {
        if (skipTimeout != null) {
            skipTimeout.cancel(false);
            skipTimeout = null;
        }
    }

    private void releaseOrClose(ChannelHandlerContext ctx) {
        if (decoder.hasUndecodedData()) {
            onUnexpected(ctx);
        } else if (reusable && written && ctx.channel().isActive()) {
            ctx.channel().config().setAutoRead(true);
            pool.release(this);
        } else {
            ctx.close();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        pool.closed(this);
        cancelSkipTimeout();
        AnswerListener l = listener;
        listener = null;
        if (l != null) {
            l.onBroken(failed ? "connection-reset" : "connection-closed");
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        fail(ctx, "connection-reset");
    }

    private void fail(ChannelHandlerContext ctx, String cause) {
        failed = true;
        reusable = false;
        AnswerListener l = listener;
        listener = null;
        ctx.close();
        if (l != null) {
            l.onBroken(cause);
        }
    }
}
