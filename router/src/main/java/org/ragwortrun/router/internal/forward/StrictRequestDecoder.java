package org.ragwortrun.router.internal.forward;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import java.util.Arrays;
import java.util.List;
import java.util.function.IntSupplier;

/**
 * Decodes requests and rejects those with both Content-Length and chunked encoding, which allow request smuggling.
 *
 * <p>The maximum size of headers and trailers is read again for each part of them, because it may change while a
 * connection is open.
 */
final class StrictRequestDecoder extends HttpRequestDecoder {
    private static final int MAX_LINE = 16 << 10;
    private static final int MAX_CHUNK = 64 << 10;
    // The maximum size does not count line ends.
    private static final int MAX_LINE_END_BYTES = 1 << 10;
    private static final int REQUEST_LINE_SEPARATORS = 4;

    private final IntSupplier maxHeaderBytes;
    /** Bytes that were read after the request line and belong to no decoded part yet. */
    private long pendingBytes;

    private boolean requestLineRead;
    private boolean rejected;

    StrictRequestDecoder(IntSupplier maxHeaderBytes) {
        super(MAX_LINE, Integer.MAX_VALUE, MAX_CHUNK);
        this.maxHeaderBytes = maxHeaderBytes;
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) throws Exception {
        if (rejected) {
            in.skipBytes(in.readableBytes());
            return;
        }
        int start = in.readerIndex();
        int parts = out.size();
        super.decode(ctx, in, out);
        int read = in.readerIndex() - start;
        pendingBytes += read;
        if (out.size() == parts) {
            // What remains belongs to the same part only if nothing could be read.
            long received = pendingBytes + (read == 0 ? in.readableBytes() : 0);
            rejectIfTooLarge(in, out, parts, requestLineRead ? received : 0);
            return;
        }
        Object first = out.get(parts);
        boolean isHead = first instanceof HttpMessage;
        boolean hasTrailers =
                first instanceof LastHttpContent last && !last.trailingHeaders().isEmpty();
        requestLineRead = !(out.get(out.size() - 1) instanceof LastHttpContent);
        if (isHead || hasTrailers) {
            rejectIfTooLarge(in, out, parts, pendingBytes);
        }
        pendingBytes = 0;
    }

    /** Replaces the parts that were decoded last by an invalid message if a number of bytes exceeds the limit. */
    private void rejectIfTooLarge(ByteBuf in, List<Object> out, int parts, long bytes) {
        if (bytes <= (long) maxHeaderBytes.getAsInt() + MAX_LINE_END_BYTES) {
            return;
        }
        rejected = true;
        in.skipBytes(in.readableBytes());
        out.subList(parts, out.size()).clear();
        HttpMessage message = createInvalidMessage();
        message.setDecoderResult(DecoderResult.failure(new TooLongHttpHeaderException("the headers are too large")));
        out.add(message);
    }

    @Override
    protected HttpMessage createMessage(String[] requestLine) throws Exception {
        requestLineRead = true;
        pendingBytes = -Arrays.stream(requestLine).mapToLong(String::length).sum() - REQUEST_LINE_SEPARATORS;
        return super.createMessage(requestLine);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("a request must not have both Content-Length and chunked transfer encoding");
    }
}
