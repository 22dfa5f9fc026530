package org.ragwortrun.router.internal.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.impl.BasicEntityDetails;
import org.apache.hc.core5.http.message.BasicHttpResponse;
import org.apache.hc.core5.http.nio.AsyncServerExchangeHandler;
import org.apache.hc.core5.http.nio.CapacityChannel;
import org.apache.hc.core5.http.nio.DataStreamChannel;
import org.apache.hc.core5.http.nio.ResponseChannel;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.apache.hc.core5.http.protocol.HttpCoreContext;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jspecify.annotations.Nullable;
import org.ragwortrun.core.log.Event;
import org.ragwortrun.core.refusal.Refusal;
import org.ragwortrun.core.refusal.RefusalReason;
import org.ragwortrun.proto.Header;
import org.ragwortrun.router.internal.flow.AnswerBody;
import org.ragwortrun.router.internal.flow.CallerResponse;
import org.ragwortrun.router.internal.flow.RequestHandler;
import org.ragwortrun.router.internal.request.CallerRequest;
import org.ragwortrun.routing.BufferBudget;

/** One exchange with a caller: collects the request and writes the answer as fast as the caller reads it. */
final class CallerExchange implements AsyncServerExchangeHandler, CallerResponse {
    private static final Logger LOG = LogManager.getLogger(CallerExchange.class);
    private static final String REQUEST_ID = "X-Request-Id";
    // All request bodies share one limit, because the client account is not known yet while a body arrives.
    private static final String SHARED_ACCOUNT = "";

    private final RequestHandler handler;
    private final ProblemWriter problems;
    private final BufferBudget bodyMemory;
    private final int maxBody;
    private final RequestTimers timers;
    private final String generatedId;
    private final Object produceLock = new Object();
    private final ByteArrayOutputStream body = new ByteArrayOutputStream(0);
    private @Nullable HttpRequest request;
    private @Nullable HttpContext context;
    private volatile @Nullable ResponseChannel responses;
    private volatile @Nullable DataStreamChannel output;
    private volatile @Nullable AnswerBody answer;
    private volatile @Nullable Runnable onEnded;
    private volatile boolean answered;
    private volatile boolean closeAfterAnswer;
    private boolean released;
    private int reservedBytes;

    CallerExchange(
            RequestHandler handler,
            ProblemWriter problems,
            BufferBudget bodyMemory,
            int maxBody,
            RequestTimers timers) {
        this.handler = handler;
        this.problems = problems;
        this.bodyMemory = bodyMemory;
        this.maxBody = maxBody;
        this.timers = timers;
        generatedId = handler.nextId();
    }

    // ---- the request ----

    @Override
    public void handleRequest(
            HttpRequest head, @Nullable EntityDetails entity, ResponseChannel channel, HttpContext httpContext) {
        request = head;
        context = httpContext;
        responses = channel;
        if (entity == null) {
            submit(head);
        } else if (entity.getContentLength() > maxBody) {
            refuseEarly(tooLarge());
        } else {
            timers.startBodyTimer(this);
        }
    }

    @Override
    public void updateCapacity(CapacityChannel capacity) throws IOException {
        capacity.update(Integer.MAX_VALUE);
    }

    @Override
    public void consume(ByteBuffer src) {
        int count = src.remaining();
        if (answered) {
            src.position(src.limit());
            return;
        }
        if (body.size() + count > maxBody) {
            src.position(src.limit());
            refuseEarly(tooLarge());
            return;
        }
        if (!bodyMemory.tryReserve(SHARED_ACCOUNT, count)) {
            src.position(src.limit());
            refuseEarly(Refusal.notRun(RefusalReason.OVERLOADED, "no memory is left for request bodies"));
            return;
        }
        reservedBytes += count;
        byte[] copy = new byte[count];
        src.get(copy);
        body.writeBytes(copy);
    }

    @Override
    public void streamEnd(@Nullable List<? extends org.apache.hc.core5.http.Header> trailers) {
        timers.stopBodyTimer(this);
        HttpRequest head = request;
        if (!answered && head != null) {
            submit(head);
        }
    }

    /** Refuses the request because its body did not arrive in time. */
    void onBodyTimeout() {
        refuseEarly(Refusal.notRun(RefusalReason.REQUEST_TOO_SLOW, "the request body did not arrive in time"));
    }

    private void submit(HttpRequest head) {
        List<Header> headers = new ArrayList<>();
        for (org.apache.hc.core5.http.Header h : head.getHeaders()) {
            headers.add(Header.newBuilder()
                    .setName(h.getName())
                    .setValue(h.getValue() == null ? "" : h.getValue())
                    .build());
        }
        String target = head.getPath() == null ? "/" : head.getPath();
        CallerRequest complete = new CallerRequest(head.getMethod(), target, headers, body.toByteArray());
        body.reset();
        Runnable ended = handler.submit(complete, this, generatedId);
        boolean isReleased;
        synchronized (this) {
            onEnded = ended;
            isReleased = released;
        }
        if (isReleased) {
            ended.run();
        }
    }

    /** Refuses an incomplete request. The connection is closed after the answer, as its input is not read further. */
    private void refuseEarly(Refusal refusal) {
        synchronized (this) {
            if (answered) {
                return;
            }
            answered = true;
            closeAfterAnswer = true;
        }
        // Called without the lock, since HttpCore may hold the session's lock while it releases this exchange.
        handler.refuse(this, generatedId, refusal);
        abort();
    }

    private Refusal tooLarge() {
        return Refusal.notRun(RefusalReason.REQUEST_TOO_LARGE, "the request body exceeds " + maxBody + " bytes");
    }

    // ---- the answer ----

    @Override
    public void start(String requestId, int status, List<Header> headers, @Nullable AnswerBody newBody) {
        BasicHttpResponse head = new BasicHttpResponse(status);
        String type = null;
        for (Header h : headers) {
            if (HttpHeaders.CONTENT_TYPE.equalsIgnoreCase(h.getName())) {
                type = h.getValue();
            } else {
                head.addHeader(h.getName(), h.getValue());
            }
        }
        head.setHeader(REQUEST_ID, requestId);
        answer = newBody;
        send(head, newBody == null ? null : new BasicEntityDetails(-1, ContentType.parseLenient(type)));
    }

    @Override
    public void wake() {
        DataStreamChannel channel = output;
        if (channel != null) {
            channel.requestOutput();
        }
    }

    @Override
    public void abort() {
        HttpContext c = context;
        if (c != null && HttpCoreContext.cast(c).getEndpointDetails() != null) {
            timers.closeAfterLinger(HttpCoreContext.cast(c).getEndpointDetails().getRemoteAddress());
        }
    }

    @Override
    public void refuse(String requestId, Refusal refusal) {
        byte[] document = problems.write(requestId, refusal);
        BasicHttpResponse head = new BasicHttpResponse(refusal.reason().status());
        head.setHeader(REQUEST_ID, requestId);
        refusal.retryAfter()
                .ifPresent(d -> head.setHeader(HttpHeaders.RETRY_AFTER, ProblemWriter.retryAfterSeconds(d)));
        if (closeAfterAnswer) {
            head.setHeader(HttpHeaders.CONNECTION, "close");
        }
        answer = AnswerBody.of(document);
        send(head, new BasicEntityDetails(document.length, ContentType.create(ProblemWriter.MEDIA_TYPE)));
    }

    private void send(HttpResponse head, @Nullable EntityDetails entity) {
        answered = true;
        ResponseChannel channel = responses;
        if (channel == null) {
            return;
        }
        try {
            channel.sendResponse(head, entity, context);
        } catch (HttpException | IOException e) {
            Event.of("answer-not-sent").debug(LOG);
        }
    }

    @Override
    public int available() {
        AnswerBody a = answer;
        return a != null && a.isReady() ? 1 : 0;
    }

    /** Writes the available data. Called by the thread that starts the answer and by the IO thread. */
    @Override
    public void produce(DataStreamChannel channel) throws IOException {
        synchronized (produceLock) {
            write(channel);
        }
    }

    private void write(DataStreamChannel channel) throws IOException {
        output = channel;
        AnswerBody a = answer;
        if (a == null) {
            return;
        }
        while (true) {
            ByteBuffer next = a.next();
            if (next == null) {
                if (a.isDone()) {
                    channel.endStream(null);
                }
                return;
            }
            channel.write(next);
            if (next.hasRemaining()) {
                return;
            }
        }
    }

    // ---- the end ----

    @Override
    public void failed(Exception cause) {
        Event.of("exchange-failed")
                .with("request", generatedId)
                .with("cause", String.valueOf(cause.getMessage()))
                .debug(LOG);
    }

    @Override
    public void releaseResources() {
        timers.stopBodyTimer(this);
        Runnable ended;
        int reserved;
        synchronized (this) {
            if (released) {
                return;
            }
            released = true;
            ended = onEnded;
            reserved = reservedBytes;
            reservedBytes = 0;
        }
        bodyMemory.release(SHARED_ACCOUNT, reserved);
        if (ended != null) {
            ended.run();
        }
    }
}
