package org.ragwortrun.router.internal.forward;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;
import org.ragwortrun.core.time.Time;

/**
 * One connection to an endpoint, which serves one request at a time.
 *
 * <p>An answer that bears the id of another request is read and dropped, and the connection is not used again. Bytes that
 * arrive while no request waits end the connection.
 */
final class EndpointConnection extends SimpleChannelInboundHandler<HttpObject> {
    private static final Pattern KEEP_ALIVE = Pattern.compile("timeout=(\\d+)");
    private static final long SECOND_NANOS = 1_000_000_000L;
    // A connection is left this long before its endpoint closes it, so that a request does not cross the close.
    private static final long MARGIN_NANOS = 700_000_000L;
    private static final long MOST_SKIPPED_BYTES = 64 << 10;
    // The body of a refusal is short and follows its head.
    private static final long SKIP_LIMIT_MS = 1_000;
    private static final long DEFAULT_IDLE_NANOS = 4 * SECOND_NANOS;

    private final Time time;
    private final RequestHeads heads;
    private final EndpointConnections owner;
    private @Nullable Channel channel;
    private @Nullable AnswerListener listener;
    private String requestId = "";
    private boolean reusable = true;
    private boolean skipping;
    private long skipped;
    private boolean headSeen;
    private boolean failed;
    private boolean written;
    private long usableUntil;
    private @Nullable ScheduledFuture<?> skipLimit;

    EndpointConnection(Time time, RequestHeads heads, EndpointConnections owner) {
        super(HttpObject.class);
        this.time = time;
        this.heads = heads;
        this.owner = owner;
    }

    /** Notes the channel. Whoever waits for the connection hears of it before the channel tells that it is active. */
    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        channel = ctx.channel();
        usableUntil = time.nanos() + DEFAULT_IDLE_NANOS;
    }

    /** Tells whether the connection is open and its endpoint will not close it soon. */
    boolean isUsable() {
        Channel c = channel;
        return c != null && c.isActive() && reusable && usableUntil - time.nanos() > 0;
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
        headSeen = false;
        written = false;
        c.write(head, c.voidPromise());
        c.writeAndFlush(new DefaultLastHttpContent(body)).addListener(f -> written = f.isSuccess());
    }

    /** Stops or resumes reading, while the caller reads more slowly than the endpoint sends. */
    void setReading(boolean reading) {
        Channel c = channel;
        if (c != null) {
            c.config().setAutoRead(reading);
        }
    }

    /**
     * Reads over the rest of the answer, of which the head says all. The connection is used again after it, or closed if
     * the rest does not come in time.
     */
    void discardRest() {
        listener = null;
        skipping = true;
        Channel c = channel;
        if (c != null) {
            skipLimit = c.eventLoop().schedule(this::close, SKIP_LIMIT_MS, TimeUnit.MILLISECONDS);
        }
    }

    /** Ends the connection, so that the endpoint drops the request that it runs. */
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
        AnswerListener l = listener;
        if (part instanceof HttpResponse head && !part.decoderResult().isFailure()) {
            owner.heard(head);
        }
        if (part.decoderResult().isFailure() || l == null && !skipping) {
            fail(ctx, "not-an-answer");
            return;
        }
        if (part instanceof HttpResponse head && l != null) {
            onHead(ctx, head, l);
        }
        if (part instanceof HttpContent content) {
            onContent(ctx, content);
        }
    }

    private void onHead(ChannelHandlerContext ctx, HttpResponse head, AnswerListener l) {
        boolean interim = head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
        boolean foreign = heads.isForeign(head.headers(), requestId);
        skipping = interim || foreign;
        if (foreign) {
            reusable = false;
        }
        if (skipping) {
            return;
        }
        if (head.status().codeClass() == HttpStatusClass.SUCCESS && !heads.namesRequest(head.headers())) {
            // It may be the late copy of another request's answer.
            fail(ctx, "answer-without-id");
            return;
        }
        headSeen = true;
        if (!HttpUtil.isKeepAlive(head)) {
            reusable = false;
        }
        usableUntil = time.nanos() + idleNanos(head);
        l.onHead(head);
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
        // A body without a length ends with its connection. One that was reset is not complete.
        l = listener;
        if (failed || l == null) {
            return;
        }
        listener = null;
        free(ctx);
        l.onEnd();
    }

    /** Reads over what belongs to no request that waits. A body without an end must not be read for ever. */
    private void skip(ChannelHandlerContext ctx, HttpContent content) {
        skipped += content.content().readableBytes();
        if (skipped > MOST_SKIPPED_BYTES) {
            fail(ctx, "endless-answer");
        } else if (content instanceof LastHttpContent) {
            skipping = false;
            skipped = 0;
            if (listener == null) {
                endSkipLimit();
                free(ctx);
            }
        }
    }

    private void endSkipLimit() {
        if (skipLimit != null) {
            skipLimit.cancel(false);
            skipLimit = null;
        }
    }

    private void free(ChannelHandlerContext ctx) {
        if (reusable && written && ctx.channel().isActive()) {
            ctx.channel().config().setAutoRead(true);
            owner.release(this);
        } else {
            ctx.close();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        owner.closed(this);
        endSkipLimit();
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

    private static long idleNanos(HttpResponse head) {
        String text = head.headers().get("Keep-Alive");
        Matcher m = KEEP_ALIVE.matcher(text == null ? "" : text);
        long idle = m.find() ? Long.parseLong(m.group(1)) * SECOND_NANOS : DEFAULT_IDLE_NANOS;
        return idle - Math.min(MARGIN_NANOS, idle / 2);
    }
}
