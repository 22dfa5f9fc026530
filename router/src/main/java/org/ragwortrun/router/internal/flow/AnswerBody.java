package org.ragwortrun.router.internal.flow;

import java.nio.ByteBuffer;
import org.jspecify.annotations.Nullable;
import org.ragwortrun.routing.BufferBudget;
import org.ragwortrun.routing.StreamBuffer;

/**
 * The body of an answer as the caller reads it.
 *
 * <p>The flow ends or breaks it; the HTTP front reads it. Parts are rendered only when the caller is ready to take them,
 * so what a slow reader holds is bounded by the stream buffer. Thread-safe.
 */
public final class AnswerBody {
    private final StreamBuffer buffer;
    private final AnswerRenderer renderer;
    private final Runnable onRead;
    private @Nullable ByteBuffer rendered;
    private boolean headDone;
    private boolean tailDone;
    private @Nullable AnswerEnd end;
    private @Nullable String broken;

    AnswerBody(StreamBuffer buffer, AnswerRenderer renderer, Runnable onRead) {
        this.buffer = buffer;
        this.renderer = renderer;
        this.onRead = onRead;
    }

    /** Returns a body that is whole from the start. */
    public static AnswerBody of(byte[] document) {
        AnswerBody body = new AnswerBody(new StreamBuffer(new BufferBudget(0, 0), ""), new PlainRenderer(), () -> {});
        body.rendered = ByteBuffer.wrap(document);
        body.headDone = true;
        body.end = new AnswerEnd(0, 0, false);
        return body;
    }

    /** Returns bytes for the caller, or null if none are there now. The caller of this method consumes from them. */
    public synchronized @Nullable ByteBuffer next() throws BrokenAnswerException {
        if (broken != null) {
            throw new BrokenAnswerException(broken);
        }
        while (rendered == null || !rendered.hasRemaining()) {
            if (!render()) {
                return null;
            }
        }
        return rendered;
    }

    /** Returns whether bytes, the end or a failure wait to be read. */
    public synchronized boolean isReady() {
        return broken != null
                || rendered != null && rendered.hasRemaining()
                || !headDone
                || buffer.buffered() > 0
                || end != null;
    }

    /** Returns whether the whole answer has been read. */
    public synchronized boolean isDone() {
        return tailDone && (rendered == null || !rendered.hasRemaining());
    }

    /** Marks the answer as whole. */
    synchronized void finish(AnswerEnd how) {
        end = how;
    }

    /** Marks the answer as broken: the reader must not take it for whole. */
    synchronized void breakOff(String reason) {
        broken = reason;
    }

    private boolean render() {
        if (!headDone) {
            headDone = true;
            rendered = ByteBuffer.wrap(renderer.head());
            return true;
        }
        byte[] data = buffer.poll();
        if (data.length > 0) {
            rendered = ByteBuffer.wrap(renderer.part(data));
            onRead.run();
            return true;
        }
        AnswerEnd how = end;
        if (how == null || tailDone) {
            return false;
        }
        tailDone = true;
        rendered = ByteBuffer.wrap(renderer.tail(how));
        return true;
    }
}
