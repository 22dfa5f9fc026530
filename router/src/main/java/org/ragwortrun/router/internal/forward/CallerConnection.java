package org.ragwortrun.router.internal.forward;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.time.Duration;
import java.util.Locale;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.ragwortrun.core.config.CallerLimits;
import org.ragwortrun.core.refusal.Refusal;
import org.ragwortrun.core.refusal.RefusalReason;
import org.ragwortrun.core.time.Time;
import org.ragwortrun.router.internal.forward.WaitingRequests.CompleteRequest;
import org.ragwortrun.router.internal.http.ProblemWriter;

/**
 * One connection of a caller. Its requests are served one after the other, in the order in which they arrived.
 *
 * <p>The connection is read while a request is served, so that the router notices at once when the caller disconnects.
 */
final class CallerConnection extends SimpleChannelInboundHandler<HttpObject>
        implements AnswerWriter, MemoryLimit.Holder {
    private static final int FIRST_BODY_BYTES = 64 << 10;
    // A caller sends a shorter body without waiting, so a refusal before it is read saves nothing and costs the
    // connection.
    private static final int MIN_UNREAD_BODY_BYTES = 64 << 10;
    private static final Duration RETRY_AFTER = Duration.ofMillis(500);

    private final RequestAdmission admission;
    private final Supplier<CallerLimits> limits;
    private final ProblemWriter problems;
    private final Time time;
    private final WaitingRequests waiting = new WaitingRequests();
    private @Nullable ChannelHandlerContext context;
    private @Nullable HttpRequest head;
    private @Nullable ByteBuf body;
    private @Nullable CompleteRequest current;
    private @Nullable Exchange exchange;
    private @Nullable DiscardedBody discarded;
    private boolean headAccepted;
    private boolean answerStarted;
    private boolean endsWithConnection;
    private boolean closing;
    private long idleSinceNanos;
    private long headReceivedNanos;

    CallerConnection(RequestAdmission admission, Supplier<CallerLimits> limits, ProblemWriter problems, Time time) {
        super(HttpObject.class);
        this.admission = admission;
        this.limits = limits;
        this.problems = problems;
        this.time = time;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        context = ctx;
        idleSinceNanos = time.nanos();
        admission.onOpened(this);
    }

    /** Closes the connection if its caller has been idle for longer than the limits allow. */
    void closeIfIdle(long now) {
        ChannelHandlerContext ctx = context;
        boolean idle = current == null && waiting.isEmpty();
        Duration max = head == null ? limits.get().idleTimeout() : limits.get().headerTimeout();
        long since = head == null ? idleSinceNanos : headReceivedNanos;
        if (ctx != null && idle && now - since > max.toNanos()) {
            if (head == null) {
                ctx.close();
            } else {
                reject(ctx, Refusal.notRun(RefusalReason.REQUEST_TOO_SLOW, "the request did not arrive in time"));
            }
        }
    }

    /** Closes the connection now if it is idle, otherwise after the request that is being served. */
    void closeWhenIdle() {
        closing = true;
        ChannelHandlerContext ctx = context;
        if (ctx != null && current == null && head == null && waiting.isEmpty()) {
            ctx.close();
        }
    }

    /** Stops the request that is being served if a part of its prompt has been quarantined since it was sent. */
    void recheckQuarantine() {
        Exchange e = exchange;
        if (e != null) {
            e.recheckQuarantine();
        }
    }

    /** Stops the request that is being served, answers it, and closes the connection. */
    void abortAndClose(String cause) {
        closing = true;
        Exchange e = exchange;
        if (e == null) {
            abort();
        } else {
            e.stop(cause);
        }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject part) {
        DiscardedBody rest = discarded;
        if (rest != null) {
            rest.onPart(part);
        }
        if (waiting.isInputEnded()) {
            return;
        }
        if (part.decoderResult().isFailure()) {
            onMalformed(ctx, part);
            return;
        }
        if (part instanceof HttpRequest request) {
            onHead(ctx, request);
        }
        if (part instanceof HttpContent content) {
            onContent(ctx, content);
        }
    }

    private void onMalformed(ChannelHandlerContext ctx, HttpObject part) {
        Throwable cause = part.decoderResult().cause();
        boolean tooLarge = String.valueOf(cause).contains("TooLong");
        String detail = "the request cannot be read: " + (cause == null ? "" : cause.getMessage());
        reject(ctx, tooLarge ? admission.tooLarge(detail) : Refusal.notRun(RefusalReason.MALFORMED_REQUEST, detail));
    }

    private void onHead(ChannelHandlerContext ctx, HttpRequest request) {
        if (request.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING).stream()
                .anyMatch(v -> !v.trim().toLowerCase(Locale.ROOT).equals("chunked"))) {
            reject(ctx, Refusal.notRun(RefusalReason.MALFORMED_REQUEST, "the transfer encoding is not chunked"));
            return;
        }
        long length = HttpUtil.getContentLength(request, 0L);
        if (length > limits.get().bodyBytes()) {
            reject(ctx, admission.tooLarge("the body is larger than allowed"));
            return;
        }
        // Otherwise the refusal would overtake the answer to an earlier request.
        boolean first = current == null && waiting.isEmpty() && !closing;
        boolean large = length > MIN_UNREAD_BODY_BYTES || HttpUtil.is100ContinueExpected(request);
        HostAdmission.Decision decision =
                first && large ? admission.host().decide(request) : HostAdmission.Decision.UNDECIDED;
        if (decision == HostAdmission.Decision.REFUSED) {
            refuseOnHead(ctx, request);
            return;
        }
        headAccepted = decision == HostAdmission.Decision.ACCEPTED;
        head = request;
        headReceivedNanos = time.nanos();
        // Grows with the received data, because the declared length need not arrive.
        body = Unpooled.buffer((int) Math.min(length, FIRST_BODY_BYTES));
        if (HttpUtil.is100ContinueExpected(request) && current == null) {
            ctx.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
    }

    /** Refuses a request before its body is read, and closes the connection once the caller has the answer. */
    private void refuseOnHead(ChannelHandlerContext ctx, HttpRequest request) {
        waiting.endInput();
        closing = true;
        Refusal refusal = HostAdmission.refusal();
        admission.onRejected(refusal);
        String id = request.headers().get(admission.headers().idHeader(), "");
        DefaultFullHttpResponse out = response(refusal, id, isHead(request));
        out.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        DiscardedBody rest = new DiscardedBody(ctx.channel());
        discarded = rest;
        ctx.writeAndFlush(out).addListener(f -> rest.onAnswerWritten());
    }

    private void onContent(ChannelHandlerContext ctx, HttpContent content) {
        HttpRequest h = head;
        ByteBuf b = body;
        if (h == null || b == null) {
            return;
        }
        if (b.readableBytes() + content.content().readableBytes() > limits.get().bodyBytes()) {
            reject(ctx, admission.tooLarge("the body is larger than allowed"));
            return;
        }
        admission.memory().onReceived(content.content().readableBytes());
        if (head == null) {
            return;
        }
        b.writeBytes(content.content());
        if (content instanceof LastHttpContent) {
            head = null;
            body = null;
            waiting.add(new CompleteRequest(h, b, headAccepted));
            if (waiting.isFull()) {
                ctx.channel().config().setAutoRead(false);
            }
            // Run after all received data is read: the caller may have disconnected while its request waited here.
            admission.afterReads().execute(this::serveNext);
        }
    }

    private void serveNext() {
        if (current == null && !waiting.isEmpty()) {
            long startNanos = time.nanos();
            admission.whenRecent(() -> serve(startNanos));
        }
    }

    private void serve(long startNanos) {
        CompleteRequest w = current == null ? waiting.poll() : null;
        ChannelHandlerContext ctx = context;
        if (w == null) {
            return;
        }
        if (ctx == null || !ctx.channel().isActive()) {
            w.body().release();
            return;
        }
        ctx.channel().config().setAutoRead(true);
        current = w;
        answerStarted = false;
        exchange = null;
        Exchange started = admission.handle(w, startNanos, this);
        // An exchange whose request was refused at once has already ended.
        exchange = current == null ? null : started;
    }

    @Override
    public void onReceived(int bytes) {
        admission.memory().onReceived(bytes);
    }

    /** Returns the bytes of requests that are read, wait or are served, and of the answer that is being written. */
    @Override
    public long heldBytes() {
        long held = waiting.heldBytes() + (body == null ? 0 : body.capacity());
        CompleteRequest w = current;
        held += w == null ? 0 : w.heldBytes();
        Exchange e = exchange;
        held += e == null ? 0 : e.bufferedBytes();
        ChannelHandlerContext ctx = context;
        ChannelOutboundBuffer unsent =
                ctx == null ? null : ctx.channel().unsafe().outboundBuffer();
        return held + (unsent == null ? 0 : unsent.totalPendingWriteBytes());
    }

    /** Refuses the request that is being read, or ends the one that is being served, and closes the connection. */
    @Override
    public void releaseMemory() {
        ChannelHandlerContext ctx = context;
        if (ctx == null) {
            return;
        }
        waiting.clear();
        if (current == null && head != null) {
            reject(ctx, Refusal.notRun(RefusalReason.OVERLOADED, "too many bytes of requests", RETRY_AFTER));
            return;
        }
        head = null;
        body = null;
        abortAndClose("memory-short");
    }

    @Override
    public boolean isOpen() {
        ChannelHandlerContext ctx = context;
        return ctx != null && ctx.channel().isActive();
    }

    @Override
    public void writeHead(HttpResponse from) {
        ChannelHandlerContext ctx = context;
        CompleteRequest w = current;
        if (ctx == null || w == null) {
            return;
        }
        HttpResponse out = new DefaultHttpResponse(HttpVersion.HTTP_1_1, from.status());
        admission.headers().copyToCaller(from.headers(), out.headers());
        String length = from.headers().get(HttpHeaderNames.CONTENT_LENGTH);
        boolean hasLength = length != null && !isEventStream(from);
        // The answer to HEAD has no body, so its end needs no framing.
        boolean needsFraming = !hasLength && !isHead(w.head());
        if (hasLength) {
            out.headers().set(HttpHeaderNames.CONTENT_LENGTH, length);
        } else if (needsFraming && w.head().protocolVersion().isKeepAliveDefault()) {
            out.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        } else if (needsFraming) {
            closing = true;
            endsWithConnection = true;
        }
        setKeepAlive(w, out);
        answerStarted = true;
        ctx.write(out, ctx.voidPromise());
    }

    private static boolean isEventStream(HttpResponse from) {
        return from.headers().get(HttpHeaderNames.CONTENT_TYPE, "").startsWith("text/event-stream");
    }

    private void setKeepAlive(CompleteRequest w, HttpResponse out) {
        boolean moves = admission.host().closesConnections() && head == null && waiting.isEmpty();
        boolean keep = HttpUtil.isKeepAlive(w.head())
                && !closing
                && !moves
                && !waiting.isExhausted()
                && !admission.isStopping();
        if (!keep) {
            closing = true;
            out.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
    }

    @Override
    public boolean writeBody(ByteBuf part) {
        ChannelHandlerContext ctx = context;
        if (ctx == null) {
            part.release();
            return true;
        }
        ctx.write(new DefaultHttpContent(part), ctx.voidPromise());
        if (ctx.channel().isWritable()) {
            admission.flushLater(ctx);
        } else {
            ctx.flush();
        }
        return ctx.channel().isWritable();
    }

    @Override
    public void flush() {
        ChannelHandlerContext ctx = context;
        if (ctx != null) {
            ctx.flush();
        }
    }

    @Override
    public void complete() {
        ChannelHandlerContext ctx = context;
        if (ctx != null) {
            writeLast(ctx, LastHttpContent.EMPTY_LAST_CONTENT);
        }
    }

    private void writeLast(ChannelHandlerContext ctx, Object last) {
        var written = ctx.writeAndFlush(last);
        current = null;
        exchange = null;
        idleSinceNanos = time.nanos();
        if (closing || waiting.isExhausted()) {
            // Until a slow caller has received the answer, the connection stays open.
            waiting.endInput();
            waiting.clear();
            head = null;
            body = null;
            written.addListener(ChannelFutureListener.CLOSE);
        } else {
            // The exchange calls this before it has marked itself as ended, so the next request must not start yet.
            admission.afterReads().execute(this::serveNext);
        }
    }

    @Override
    public void abort() {
        current = null;
        exchange = null;
        closing = true;
        ChannelHandlerContext ctx = context;
        if (ctx != null) {
            if (endsWithConnection) {
                // A reset, because an orderly close would complete the answer.
                ctx.channel().config().setOption(ChannelOption.SO_LINGER, 0);
            }
            ctx.close();
        }
    }

    @Override
    public void refuse(Refusal refusal) {
        ChannelHandlerContext ctx = context;
        CompleteRequest w = current;
        if (ctx == null || w == null) {
            return;
        }
        if (answerStarted) {
            abort();
            return;
        }
        if (refusal.reason() == RefusalReason.MALFORMED_REQUEST) {
            closing = true;
        }
        String id = w.head().headers().get(admission.headers().idHeader(), "");
        DefaultFullHttpResponse out = response(refusal, id, isHead(w.head()));
        setKeepAlive(w, out);
        writeLast(ctx, out);
    }

    private static boolean isHead(@Nullable HttpRequest request) {
        return request != null && request.method().equals(HttpMethod.HEAD);
    }

    /**
     * Creates the answer to a refused request.
     *
     * @param headOnly whether the request was HEAD, whose caller would read a body as the next answer
     */
    private DefaultFullHttpResponse response(Refusal refusal, String id, boolean headOnly) {
        byte[] text = problems.write(id, refusal);
        DefaultFullHttpResponse out = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(refusal.reason().status()),
                headOnly ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(text));
        out.headers()
                .set(HttpHeaderNames.CONTENT_TYPE, ProblemWriter.MEDIA_TYPE)
                .set(HttpHeaderNames.CONTENT_LENGTH, text.length);
        if (!id.isEmpty()) {
            out.headers().set(admission.headers().idHeader(), id);
        }
        refusal.retryAfter()
                .ifPresent(d -> out.headers()
                        .set(HttpHeaderNames.RETRY_AFTER, String.format(Locale.ROOT, "%.3f", d.toMillis() / 1_000.0)));
        return out;
    }

    /**
     * Refuses a request that cannot be read and closes the connection, because the start of the next request is
     * unknown. If earlier requests are not answered yet, the connection closes after the last of their answers instead.
     */
    private void reject(ChannelHandlerContext ctx, Refusal refusal) {
        boolean headOnly = isHead(head);
        head = null;
        body = null;
        ctx.channel().config().setAutoRead(false);
        waiting.endInput();
        if (current == null && waiting.isEmpty() && !closing) {
            closing = true;
            admission.onRejected(refusal);
            DefaultFullHttpResponse out = response(refusal, "", headOnly);
            out.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            ctx.writeAndFlush(out).addListener(ChannelFutureListener.CLOSE);
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        Exchange e = exchange;
        if (ctx.channel().isWritable() && e != null) {
            e.resumeReading();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        admission.onClosed(this);
        Exchange e = exchange;
        current = null;
        exchange = null;
        context = null;
        waiting.clear();
        if (e != null) {
            e.cancel();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        admission.onFailure(cause);
        ctx.close();
    }
}
