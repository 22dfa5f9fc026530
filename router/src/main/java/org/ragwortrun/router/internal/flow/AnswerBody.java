package org.ragwortrun.router.internal.flow;

import java.nio.ByteBuffer;
import org.jspecify.annotations.Nullable;
import org.ragwortrun.routing.BufferBudget;
import org.ragwortrun.routing.StreamBuffer;

/**
 * The body of an answer in the form that the caller receives.
 *
 * <p>The request flow finishes or fails it; the HTTP server reads it. Parts are rendered only when the caller is ready for
 * them, so the stream buffer bounds the memory that a slow reader occupies. Thread-safe.
 */
public final class AnswerBody {
    private final StreamBuffer buffer;
    private final AnswerRenderer renderer;
    private final Runnable onRead;
    private @Nullable ByteBuffer rendered;
    private boolean headRendered;
    private boolean tailRendered;
    private @Nullable AnswerSummary end;
    private @Nullable String failureReason;

    AnswerBody(StreamBuffer buffer, AnswerRenderer renderer, Runnable onRead) {
        this.buffer = buffer;
        this.renderer = renderer;
        this.onRead = onRead;
    }

    /** Returns a body whose content is already complete. */
    public static AnswerBody of(byte[] document) {
        AnswerBody body = new AnswerBody(new StreamBuffer(new BufferBudget(0, 0), ""), new PlainRenderer(), () -> {});
        body.rendered = ByteBuffer.wrap(document);
        body.headRendered = true;
        body.end = new AnswerSummary(0, 0, false);
        return body;
    }

    /** Returns the bytes to send next, or null if none are available. The reader advances the position of the buffer. */
    public synchronized @Nullable ByteBuffer next() throws BrokenAnswerException {
        if (failureReason != null) {
            throw new BrokenAnswerException(failureReason);
        }
        while (rendered == null || !rendered.hasRemaining()) {
            if (!render()) {
                return null;
            }
        }
        return rendered;
    }

    /** Returns whether bytes, the end or a failure can be read. */
    public synchronized boolean isReady() {
        return failureReason != null
                || rendered != null && rendered.hasRemaining()
                || !headRendered
                || buffer.buffered() > 0
                || end != null;
    }

    /** Returns whether the complete answer has been read. */
    public synchronized boolean isDone() {
        return tailRendered && (rendered == null || !rendered.hasRemaining());
    }

    /** Marks the answer as complete. */
    synchronized void finish(AnswerSummary summary) {
        end = summary;
    }

    /** Marks the answer as incomplete, so that the reader fails instead of reaching a regular end. */
    synchronized void fail(String reason) {
        failureReason = reason;
    }

    private boolean render() {
        if (!headRendered) {
            headRendered = true;
            rendered = ByteBuffer.wrap(renderer.head());
            return true;
        }
        byte[] data = buffer.poll();
        if (data.length > 0) {
            rendered = ByteBuffer.wrap(renderer.part(data));
            onRead.run();
            return true;
        }
        AnswerSummary summary = end;
        if (summary == null || tailRendered) {
            return false;
        }
        tailRendered = true;
        rendered = ByteBuffer.wrap(renderer.tail(summary));
        return true;
    }
}
