package org.ragwortrun.router.internal.forward;

import io.netty.buffer.ByteBufHolder;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.concurrent.TimeUnit;

/**
 * Reads and drops the body of a request that was refused on its head, then closes the connection.
 *
 * <p>A connection that is closed while data arrives is reset, and the reset could reach the caller before it has read
 * the answer. A caller that continues to send is not read beyond a bound.
 */
final class DiscardedBody {
    // About what the receive buffer of a connection takes in any case; more would use bandwidth that is short.
    private static final long MAX_BYTES = 64 << 10;
    private static final long MAX_MS = 1_000;

    private final Channel channel;
    private long bytes;
    private boolean ended;
    private boolean answered;

    DiscardedBody(Channel channel) {
        this.channel = channel;
        channel.eventLoop().schedule(() -> channel.close(), MAX_MS, TimeUnit.MILLISECONDS);
    }

    /** Drops a part of the body. */
    void onPart(Object part) {
        bytes += part instanceof ByteBufHolder h ? h.content().readableBytes() : 0;
        ended |= part instanceof LastHttpContent;
        if (bytes > MAX_BYTES) {
            channel.config().setAutoRead(false);
        }
        closeIfDone();
    }

    /** Called when the answer is written. */
    void onAnswerWritten() {
        answered = true;
        closeIfDone();
    }

    private void closeIfDone() {
        if (ended && answered) {
            channel.close();
        }
    }
}
