package org.ragwortrun.router.internal.forward;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import java.util.function.Predicate;
import org.ragwortrun.net.http.StatusLines;

/**
 * Decodes the answers of an endpoint, and tells whether data has arrived that is not decoded yet. An answer without a valid
 * status line is a failure of the endpoint.
 */
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

    /** The decoder accepts any number as a status, also with a sign or other than three digits. */
    @Override
    protected HttpMessage createMessage(String[] statusLine) {
        if (!StatusLines.areWellFormed(statusLine[0], statusLine[1])) {
            throw new IllegalArgumentException("the answer has no valid status line");
        }
        return super.createMessage(statusLine);
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return super.isContentAlwaysEmpty(message) || message instanceof HttpResponse answer && bodyless.test(answer);
    }
}
