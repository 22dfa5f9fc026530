package org.ragwortrun.router.internal.forward;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/** Hears the answer to one request that was sent to an endpoint. Calls come on the event loop. */
interface AnswerListener {
    /** Hears the head of the answer. */
    void onHead(HttpResponse head);

    /** Hears a part of the body, which is valid during the call only. */
    void onBody(ByteBuf part);

    /** Hears that the answer is complete. */
    void onEnd();

    /** Hears that the connection ended, or carried other than an answer, before the answer was complete. */
    void onBroken(String cause);
}
