package org.ragwortrun.router.internal.forward;

import static com.google.common.truth.Truth.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Checks the limit of headers while it changes, and what is not counted against it. */
final class StrictRequestDecoderTest {
    private static final int LIMIT = 16 << 10;
    private static final int PART_BYTES = 500;

    private int limit = LIMIT;
    private final EmbeddedChannel channel = new EmbeddedChannel(new StrictRequestDecoder(() -> limit));

    @AfterEach
    void close() {
        channel.finishAndReleaseAll();
    }

    /** Guards against an open connection that keeps the limit with which it was opened after the limit was raised. */
    @Test
    void appliesRaisedLimitToOpenConnection() {
        assertThat(isRejected(request(LIMIT / 2))).isFalse();
        limit = 4 * LIMIT;
        assertThat(isRejected(request(2 * LIMIT))).isFalse();
        assertThat(isRejected(request(5 * LIMIT))).isTrue();
    }

    /** Guards against an open connection that keeps the limit with which it was opened after the limit was lowered. */
    @Test
    void appliesLoweredLimitToOpenConnection() {
        assertThat(isRejected(request(LIMIT / 2))).isFalse();
        limit = LIMIT / 4;
        assertThat(isRejected(request(LIMIT / 2))).isTrue();
    }

    /** Guards against headers without end that are buffered until the memory is full. */
    @Test
    void rejectsHeadersWithoutEnd() {
        assertThat(isRejected("GET / HTTP/1.1\r\nHost: h\r\n")).isFalse();
        assertThat(bytesUntilRejected("X-More: " + "x".repeat(PART_BYTES) + "\r\n"))
                .isAtMost(LIMIT + 4 * PART_BYTES);
        assertThat(isRejected("X-More: y\r\n")).isFalse();
    }

    /** Guards against a header line without end that is buffered until the memory is full. */
    @Test
    void rejectsHeaderLineWithoutEnd() {
        assertThat(isRejected("GET / HTTP/1.1\r\nX-More: ")).isFalse();
        assertThat(bytesUntilRejected("x".repeat(PART_BYTES))).isAtMost(LIMIT + 4 * PART_BYTES);
    }

    /** Guards against trailers without end that are buffered until the memory is full. */
    @Test
    void rejectsTrailersWithoutEnd() {
        assertThat(isRejected("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n"))
                .isFalse();
        assertThat(bytesUntilRejected("X-More: " + "x".repeat(PART_BYTES) + "\r\n"))
                .isAtMost(LIMIT + 4 * PART_BYTES);
    }

    /** Guards against sound requests that are rejected because bytes other than headers count against the limit. */
    @Test
    void countsOnlyHeaders() {
        String body = "x".repeat(3 * LIMIT);
        String chunks = ("1000\r\n" + "y".repeat(0x1000) + "\r\n").repeat(20);
        String all = "GET /" + "a".repeat(LIMIT - 100) + " HTTP/1.1\r\nX-Some: " + "b".repeat(LIMIT - 100) + "\r\n\r\n"
                + "POST / HTTP/1.1\r\nContent-Length: " + body.length() + "\r\n\r\n" + body
                + "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks + "0\r\n\r\n"
                + "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
        int requests = 0;
        for (int from = 0; from < all.length(); from += PART_BYTES) {
            for (HttpObject part : decode(all.substring(from, Math.min(all.length(), from + PART_BYTES)))) {
                assertThat(part.decoderResult().isFailure()).isFalse();
                requests += part instanceof HttpRequest ? 1 : 0;
            }
        }
        assertThat(requests).isEqualTo(4);
        assertThat(isRejected(all)).isFalse();
    }

    private static String request(int headerBytes) {
        return "GET / HTTP/1.1\r\nX-Some: " + "x".repeat(headerBytes) + "\r\n\r\n";
    }

    private int bytesUntilRejected(String part) {
        int sent = part.length();
        while (!isRejected(part) && sent < 100 * LIMIT) {
            sent += part.length();
        }
        return sent;
    }

    private boolean isRejected(String bytes) {
        return decode(bytes).stream().anyMatch(p -> p.decoderResult().isFailure());
    }

    private List<HttpObject> decode(String bytes) {
        channel.writeInbound(Unpooled.copiedBuffer(bytes, StandardCharsets.ISO_8859_1));
        List<HttpObject> parts = new ArrayList<>();
        for (HttpObject part = channel.readInbound(); part != null; part = channel.readInbound()) {
            parts.add(part);
            if (part instanceof HttpContent) {
                ReferenceCountUtil.release(part);
            }
        }
        return parts;
    }
}
