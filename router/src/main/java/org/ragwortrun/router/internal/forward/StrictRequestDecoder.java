package org.ragwortrun.router.internal.forward;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/** Decodes requests and refuses one that has both a length and chunked framing, which two readers may cut apart. */
final class StrictRequestDecoder extends HttpRequestDecoder {
    private static final int MAX_LINE = 16 << 10;
    private static final int MAX_CHUNK = 64 << 10;

    StrictRequestDecoder(int maxHeaderBytes) {
        super(MAX_LINE, maxHeaderBytes, MAX_CHUNK);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("a request has a Content-Length or chunked framing, not both");
    }
}
