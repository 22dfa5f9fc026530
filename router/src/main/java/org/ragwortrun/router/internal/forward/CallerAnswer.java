package org.ragwortrun.router.internal.forward;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import org.ragwortrun.core.refusal.Refusal;

/** The way back to the caller of one request. Used on the event loop only. */
interface CallerAnswer {
    /** Tells whether the caller's connection is open, also before its close has been announced. */
    boolean isOpen();

    /** Sends the head of an answer whose body follows in parts. */
    void head(HttpResponse head);

    /** Sends a part of the body soon and releases it. Returns whether the caller reads fast enough for more. */
    boolean part(ByteBuf part);

    /** Sends now what was to be sent soon. */
    void flush();

    /** Ends the answer as complete. */
    void end();

    /** Breaks the answer off, so that it does not look complete. */
    void breakOff();

    /** Answers with a final refusal. */
    void refuse(Refusal refusal);
}
