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
 * The final answer of one request: started, then whole or broken off; or a refusal.
 *
 * <p>A streamed or plain answer starts with its first chunk. An unstreamed one starts when it is whole or when its buffer
 * is full, so that a failure before that can still be answered with a refusal. Used on the request's mailbox only.
 */
final class Answer {
    private static final int OK = 200;
    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;
    private static final int SERVER_ERROR = 500;
    private static final int CLIENT_CLOSED = 499;
    private static final long MILLIS_PER_SECOND = 1000;
    private static final Set<String> HOP_HEADERS = Set.of(
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
    private final boolean model;
    private final boolean streamed;
    private final boolean repeatable;
    private final boolean bodiless;
    private final DeferredRenderer renderer;
    private int status = OK;
    private List<Header> headers = List.of();
    private boolean headSeen;
    private boolean started;
    private boolean over;

    Answer(AdmittedRequest request, CallerResponse response, StreamBuffer buffer, Runnable onRead, long wallMillis) {
        this.requestId = request.id();
        this.response = response;
        this.buffer = buffer;
        this.model = request.isModel();
        this.repeatable = request.route().repeatable();
        this.bodiless = "HEAD".equals(request.caller().method());
        this.streamed = request.chat().map(ChatRequest::stream).orElse(true);
        this.renderer = new DeferredRenderer(request.chat()
                .map(c -> renderer(c, request.id(), wallMillis / MILLIS_PER_SECOND))
                .orElseGet(PlainRenderer::new));
        body = new AnswerBody(buffer, renderer, onRead);
    }

    /** Takes status and headers from the first chunk. */
    void head(Chunk first) {
        if (headSeen) {
            return;
        }
        headSeen = true;
        if (first.getStatus() != 0) {
            status = first.getStatus();
        }
        headers = first.getHeadersList().stream()
                .filter(h -> !HOP_HEADERS.contains(h.getName().toLowerCase(Locale.ROOT)))
                .toList();
        // The endpoint's own error document is passed on.
        renderer.select(model && status != OK);
        if (!streamed) {
            buffer.widenFully();
        }
    }

    /** Forgets status and headers, because another endpoint answers. */
    void restart() {
        headSeen = false;
        status = OK;
        headers = List.of();
    }

    /** Bytes have arrived in the buffer. */
    void advanced() {
        if (over) {
            return;
        }
        // The error of an endpoint is held back while another endpoint may do better.
        boolean held = hasNoBody() || repeatable && status >= SERVER_ERROR;
        if (!held && streamed || buffer.isFull()) {
            start();
        }
        if (started) {
            response.wake();
        }
    }

    void finish(AnswerEnd end) {
        if (over) {
            return;
        }
        over = true;
        body.finish(end);
        start();
        response.wake();
    }

    /** Gives the final answer when the answer cannot be finished. */
    void fail(Refusal refusal) {
        if (over) {
            return;
        }
        over = true;
        if (started) {
            body.breakOff(refusal.reason().code());
            response.wake();
        } else {
            response.refuse(requestId, refusal);
        }
    }

    /** The caller has gone; nothing more is sent. */
    void abandon() {
        if (!over) {
            over = true;
            status = started ? status : CLIENT_CLOSED;
        }
    }

    /** Closes the connection of a caller that does not read. */
    void abort() {
        response.abort();
    }

    private boolean hasNoBody() {
        return bodiless || status == NO_CONTENT || status == NOT_MODIFIED;
    }

    boolean isStarted() {
        return started;
    }

    boolean isOver() {
        return over;
    }

    int status() {
        return status;
    }

    private void start() {
        if (started) {
            return;
        }
        started = true;
        List<Header> own = model && status == OK
                ? List.of(header("Content-Type", streamed ? "text/event-stream" : "application/json"))
                : headers;
        response.start(requestId, status, own, hasNoBody() ? null : body);
    }

    private static AnswerRenderer renderer(ChatRequest chat, String id, long createdSeconds) {
        return chat.stream()
                ? new EventStreamRenderer(id, chat.model(), createdSeconds)
                : new DocumentRenderer(id, chat.model(), createdSeconds);
    }

    static Header header(String name, String value) {
        return Header.newBuilder().setName(name).setValue(value).build();
    }

    /** A renderer that is selected before the answer starts. */
    private static final class DeferredRenderer implements AnswerRenderer {
        private final AnswerRenderer usual;
        private final AnswerRenderer plain = new PlainRenderer();
        private volatile AnswerRenderer target;

        DeferredRenderer(AnswerRenderer usual) {
            this.usual = usual;
            target = usual;
        }

        void select(boolean asPlain) {
            target = asPlain ? plain : usual;
        }

        @Override
        public byte[] head() {
            return target.head();
        }

        @Override
        public byte[] part(byte[] data) {
            return target.part(data);
        }

        @Override
        public byte[] tail(AnswerEnd end) {
            return target.tail(end);
        }
    }
}
