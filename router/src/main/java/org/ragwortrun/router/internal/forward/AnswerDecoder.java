package org.ragwortrun.router.internal.forward;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import java.util.function.Predicate;

/** Decodes the answers of an endpoint, and tells whether data has arrived that is not decoded yet. */
final class AnswerDecoder extends HttpResponseDecoder {
    private final Predicate<HttpResponse> bodyless;

    /**
     * Creates a decoder.
     *
     * @param bodyless decides from the head of an answer whether it has no body because of its request
     */
    AnswerDecoder(Predicate<HttpResponse> bodyless) {
        this.bodyless = bodyless;
    }

    boolean hasUndecodedData() {
        return actualReadableBytes() > 0;
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return super.isContentAlwaysEmpty(message) || message instanceof HttpResponse answer && bodyless.test(answer);
    }
}
