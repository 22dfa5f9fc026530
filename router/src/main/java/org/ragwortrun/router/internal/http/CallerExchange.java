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
import org.ragwortrun.router.internal.flow.RequestFront;
import org.ragwortrun.router.internal.request.CallerRequest;
import org.ragwortrun.routing.BufferBudget;

/** One exchange with a caller: gathers the request and writes the answer as fast as the caller takes it. */
final class CallerExchange implements AsyncServerExchangeHandler, CallerResponse {
    private static final Logger LOG = LogManager.getLogger(CallerExchange.class);
    private static final String REQUEST_ID = "X-Request-Id";
    // All request bodies share one bound, whoever sends them, because the caller is not known yet.
    private static final String BODIES = "";

    private final RequestFront front;
    private final ProblemWriter problems;
    private final BufferBudget bodies;
    private final int maxBody;
    private final RequestTimers timers;
    private final String ownId;
    private final Object producing = new Object();
    private final ByteArrayOutputStream body = new ByteArrayOutputStream(0);
    private @Nullable HttpRequest request;
    private @Nullable HttpContext context;
    private volatile @Nullable ResponseChannel responses;
    private volatile @Nullable DataStreamChannel output;
    private volatile @Nullable AnswerBody answer;
    private volatile @Nullable Runnable onEnded;
    private volatile boolean answered;
    private volatile boolean closeAfter;
    private boolean released;
    private int bodyTaken;

    CallerExchange(RequestFront front, ProblemWriter problems, BufferBudget bodies, int maxBody, RequestTimers timers) {
        this.front = front;
        this.problems = problems;
        this.bodies = bodies;
        this.maxBody = maxBody;
        this.timers = timers;
        ownId = front.nextId();
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
            timers.bodyStarted(this);
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
        if (!bodies.tryTake(BODIES, count)) {
            src.position(src.limit());
            refuseEarly(Refusal.notRun(RefusalReason.OVERLOADED, "no memory is left for request bodies"));
            return;
        }
        bodyTaken += count;
        byte[] copy = new byte[count];
        src.get(copy);
        body.writeBytes(copy);
    }

    @Override
    public void streamEnd(@Nullable List<? extends org.apache.hc.core5.http.Header> trailers) {
        timers.bodyEnded(this);
        HttpRequest head = request;
        if (!answered && head != null) {
            submit(head);
        }
    }

    /** The body did not arrive in time. */
    void bodyTimedOut() {
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
        CallerRequest whole = new CallerRequest(head.getMethod(), target, headers, body.toByteArray());
        body.reset();
        Runnable ended = front.submit(whole, this, ownId);
        boolean gone;
        synchronized (this) {
            onEnded = ended;
            gone = released;
        }
        if (gone) {
            ended.run();
        }
    }

    /** Refuses before the request is whole. The connection is closed after the answer, as its input is not read. */
    private void refuseEarly(Refusal refusal) {
        synchronized (this) {
            if (answered) {
                return;
            }
            answered = true;
            closeAfter = true;
        }
        // Not under the lock: HttpCore may hold the session's lock while it releases this exchange.
        front.refuse(this, ownId, refusal);
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
            timers.closeSoon(HttpCoreContext.cast(c).getEndpointDetails().getRemoteAddress());
        }
    }

    @Override
    public void refuse(String requestId, Refusal refusal) {
        byte[] document = problems.write(requestId, refusal);
        BasicHttpResponse head = new BasicHttpResponse(refusal.reason().status());
        head.setHeader(REQUEST_ID, requestId);
        refusal.retryAfter()
                .ifPresent(d -> head.setHeader(HttpHeaders.RETRY_AFTER, ProblemWriter.retryAfterSeconds(d)));
        if (closeAfter) {
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

    /** Writes what is there. It is called by the thread that starts the answer and by the IO thread. */
    @Override
    public void produce(DataStreamChannel channel) throws IOException {
        synchronized (producing) {
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
                .with("request", ownId)
                .with("cause", String.valueOf(cause.getMessage()))
                .debug(LOG);
    }

    @Override
    public void releaseResources() {
        timers.bodyEnded(this);
        Runnable ended;
        int taken;
        synchronized (this) {
            if (released) {
                return;
            }
            released = true;
            ended = onEnded;
            taken = bodyTaken;
            bodyTaken = 0;
        }
        bodies.giveBack(BODIES, taken);
        if (ended != null) {
            ended.run();
        }
    }
}
