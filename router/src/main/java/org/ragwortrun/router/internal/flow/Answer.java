package org.ragwortrun.router.internal.flow;

import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.ragwortrun.core.refusal.Refusal;
import org.ragwortrun.proto.Chunk;
import org.ragwortrun.proto.Header;
import org.ragwortrun.router.internal.request.AdmittedRequest;
import org.ragwortrun.router.internal.request.ChatRequest;
import org.ragwortrun.routing.StreamBuffer;

/**
 * The final answer of one request: a complete answer, an incomplete one, or a refusal.
 *
 * <p>A streamed or plain answer starts with its first chunk. A non-streamed one starts when it is complete or its buffer
 * is full; until then a failure can still be answered with a refusal. Used only on the mailbox of the request.
 */
final class Answer {
    private static final int OK = 200;
    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;
    private static final int SERVER_ERROR = 500;
    private static final int CLIENT_CLOSED = 499;
    private static final long MILLIS_PER_SECOND = 1000;
    private static final Set<String> DROPPED_HEADERS = Set.of(
            "connection",
            "keep-alive",
            "transfer-encoding",
            "content-length",
            "upgrade",
            "trailer",
            "te",
            "date",
            "server",
            "proxy-connection",
            "x-request-id");

    private final String requestId;
    private final CallerResponse response;
    private final AnswerBody body;
    private final StreamBuffer buffer;
    private final boolean modelRequest;
    private final boolean streamed;
    private final boolean repeatable;
    private final boolean headRequest;
    private final SwitchableRenderer renderer;
    private int status = OK;
    private List<Header> headers = List.of();
    private boolean headReceived;
    private boolean started;
    private boolean ended;

    Answer(AdmittedRequest request, CallerResponse response, StreamBuffer buffer, Runnable onRead, long wallMillis) {
        this.requestId = request.id();
        this.response = response;
        this.buffer = buffer;
        this.modelRequest = request.isModel();
        this.repeatable = request.route().repeatable();
        this.headRequest = "HEAD".equals(request.caller().method());
        this.streamed = request.chat().map(ChatRequest::stream).orElse(true);
        this.renderer = new SwitchableRenderer(request.chat()
                .map(c -> renderer(c, request.id(), wallMillis / MILLIS_PER_SECOND))
                .orElseGet(PlainRenderer::new));
        body = new AnswerBody(buffer, renderer, onRead);
    }

    /** Sets status and headers from the first chunk. */
    void acceptHead(Chunk first) {
        if (headReceived) {
            return;
        }
        headReceived = true;
        if (first.getStatus() != 0) {
            status = first.getStatus();
        }
        headers = first.getHeadersList().stream()
                .filter(h -> !DROPPED_HEADERS.contains(h.getName().toLowerCase(Locale.ROOT)))
                .toList();
        // An error document of the endpoint is passed through unchanged.
        renderer.select(modelRequest && status != OK);
        if (!streamed) {
            buffer.widenFully();
        }
    }

    /** Clears status and headers before another endpoint answers. */
    void reset() {
        headReceived = false;
        status = OK;
        headers = List.of();
    }

    /** Called when bytes have been added to the buffer. */
    void onDataBuffered() {
        if (ended) {
            return;
        }
        // The server error of an endpoint is withheld while the request may be retried on another endpoint.
        boolean withheld = hasNoBody() || repeatable && status >= SERVER_ERROR;
        if (!withheld && streamed || buffer.isFull()) {
            start();
        }
        if (started) {
            response.wake();
        }
    }

    void finish(AnswerSummary summary) {
        if (ended) {
            return;
        }
        ended = true;
        body.finish(summary);
        start();
        response.wake();
    }

    /** Refuses the request, or ends the answer as incomplete if it has already started. */
    void fail(Refusal refusal) {
        if (ended) {
            return;
        }
        ended = true;
        if (started) {
            body.fail(refusal.reason().code());
            response.wake();
        } else {
            response.refuse(requestId, refusal);
        }
    }

    /** Ends the answer without sending more, because the caller has disconnected. */
    void abandon() {
        if (!ended) {
            ended = true;
            status = started ? status : CLIENT_CLOSED;
        }
    }

    /** Closes the connection to the caller. */
    void abort() {
        response.abort();
    }

    private boolean hasNoBody() {
        return headRequest || status == NO_CONTENT || status == NOT_MODIFIED;
    }

    boolean isStarted() {
        return started;
    }

    boolean isEnded() {
        return ended;
    }

    int status() {
        return status;
    }

    private void start() {
        if (started) {
            return;
        }
        started = true;
        List<Header> sentHeaders = modelRequest && status == OK
                ? List.of(header("Content-Type", streamed ? "text/event-stream" : "application/json"))
                : headers;
        response.start(requestId, status, sentHeaders, hasNoBody() ? null : body);
    }

    private static AnswerRenderer renderer(ChatRequest chat, String id, long createdSeconds) {
        return chat.stream()
                ? new EventStreamRenderer(id, chat.model(), createdSeconds)
                : new DocumentRenderer(id, chat.model(), createdSeconds);
    }

    static Header header(String name, String value) {
        return Header.newBuilder().setName(name).setValue(value).build();
    }

    /** Delegates to a renderer that can be changed until the answer starts. */
    private static final class SwitchableRenderer implements AnswerRenderer {
        private final AnswerRenderer defaultRenderer;
        private final AnswerRenderer plain = new PlainRenderer();
        private volatile AnswerRenderer selected;

        SwitchableRenderer(AnswerRenderer defaultRenderer) {
            this.defaultRenderer = defaultRenderer;
            selected = defaultRenderer;
        }

        void select(boolean asPlain) {
            selected = asPlain ? plain : defaultRenderer;
        }

        @Override
        public byte[] head() {
            return selected.head();
        }

        @Override
        public byte[] part(byte[] data) {
            return selected.part(data);
        }

        @Override
        public byte[] tail(AnswerSummary summary) {
            return selected.tail(summary);
        }
    }
}
