package org.ragwortrun.router.internal.forward;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/** Decodes requests and rejects those with both Content-Length and chunked encoding, which allow request smuggling. */
final class StrictRequestDecoder extends HttpRequestDecoder {
    private static final int MAX_LINE = 16 << 10;
    private static final int MAX_CHUNK = 64 << 10;

    StrictRequestDecoder(int maxHeaderBytes) {
        super(MAX_LINE, maxHeaderBytes, MAX_CHUNK);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("a request must not have both Content-Length and chunked transfer encoding");
    }
}
