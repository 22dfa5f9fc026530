package org.ragwortrun.router.internal.host;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.ChannelPromise;
import org.ragwortrun.routing.PacketOverhead;

/**
 * Counts the bytes of HTTP connections, with an estimate of packet headers and acknowledgements. Used on the event loop
 * only.
 *
 * <p>Bytes count as sent when they are written, so a link that cannot send all of them shows as more than full.
 */
public final class TrafficMeter {
    private final boolean enabled;
    private long bytesIn;
    private long bytesOut;

    public TrafficMeter(boolean enabled) {
        this.enabled = enabled;
    }

    /** Counts the bytes of a new connection. Called before other handlers are added, or counts what they write. */
    public void watch(ChannelPipeline pipeline) {
        if (enabled) {
            pipeline.addFirst(new Counter());
        }
    }

    long bytesIn() {
        return bytesIn;
    }

    long bytesOut() {
        return bytesOut;
    }

    private final class Counter extends ChannelDuplexHandler {
        private long unflushed;

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            countConnection();
            ctx.fireChannelActive();
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            countConnection();
            ctx.fireChannelInactive();
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object bytes) {
            if (bytes instanceof ByteBuf b) {
                bytesIn += PacketOverhead.withHeaders(b.readableBytes());
                bytesOut += PacketOverhead.acknowledgements(b.readableBytes());
            }
            ctx.fireChannelRead(bytes);
        }

        @Override
        public void write(ChannelHandlerContext ctx, Object bytes, ChannelPromise promise) {
            unflushed += bytes instanceof ByteBuf b ? b.readableBytes() : 0;
            ctx.write(bytes, promise);
        }

        @Override
        public void flush(ChannelHandlerContext ctx) {
            bytesOut += PacketOverhead.withHeaders(unflushed);
            bytesIn += PacketOverhead.acknowledgements(unflushed);
            unflushed = 0;
            ctx.flush();
        }

        private void countConnection() {
            bytesIn += PacketOverhead.connection();
            bytesOut += PacketOverhead.connection();
        }
    }
}
