package org.ragwortrun.router.internal.forward;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/** Receives the answer to one request that was sent to an endpoint. Called on the event loop. */
interface AnswerListener {
    /** Called with the head of the answer. */
    void onHead(HttpResponse head);

    /** Called with a part of the body, which is valid only during the call. */
    void onBody(ByteBuf part);

    /** Called when all data that had arrived has been passed to this listener. */
    void onReadComplete();

    /** Called when the answer is complete. */
    void onEnd();

    /** Called when the connection ended, or received data that is not an answer, before the answer was complete. */
    void onBroken(String cause);
}
