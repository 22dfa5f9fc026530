package org.ragwortrun.router.internal.forward;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import org.ragwortrun.core.refusal.Refusal;

/** Writes the answer to the caller of one request. Used on the event loop only. */
interface AnswerWriter {
    /** Returns whether the caller's connection is open. Detects a close before the channel reports it as inactive. */
    boolean isOpen();

    /** Called before a part of the answer that was received is buffered. May end the request if memory is short. */
    void onReceived(int bytes);

    /** Writes the head of an answer whose body follows in parts. */
    void writeHead(HttpResponse head);

    /**
     * Writes a part of the body, which is flushed soon, and releases it. Returns whether the connection can take more.
     */
    boolean writeBody(ByteBuf part);

    /** Flushes at once what has been written. */
    void flush();

    /** Completes the answer. */
    void complete();

    /** Closes the connection before the answer is complete, so that the caller sees that it is cut short. */
    void abort();

    /** Answers with a final refusal. */
    void refuse(Refusal refusal);
}
