package org.ragwortrun.net.internal;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufInputStream;
import io.netty.buffer.ByteBufOutputStream;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.MessageToByteEncoder;
import io.netty.handler.codec.MessageToMessageDecoder;
import io.netty.handler.timeout.IdleStateHandler;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.ragwortrun.proto.Frame;

/** Installs the codec of a connection, which sends each frame after its length in four bytes. */
public final class FramePipeline {
    /** Largest frame in bytes. */
    public static final int MAX_FRAME_BYTES = 16 << 20;

    private static final int LENGTH_BYTES = 4;
    // After a network partition, a dead connection must be replaced well within the 3 s after which a host counts as
    // connected.
    private static final long READ_IDLE_TIMEOUT_MS = 1_500;
    // Three keep-alive frames fit into the read timeout, so that one or two late ones do not close the connection.
    private static final long KEEP_ALIVE_INTERVAL_MS = 450;

    private FramePipeline() {}

    public static void addCodec(ChannelPipeline pipeline) {
        pipeline.addLast(new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES));
        pipeline.addLast(new Decoder());
        pipeline.addLast(new Encoder());
        pipeline.addLast(new IdleStateHandler(READ_IDLE_TIMEOUT_MS, KEEP_ALIVE_INTERVAL_MS, 0, TimeUnit.MILLISECONDS));
    }

    private static final class Decoder extends MessageToMessageDecoder<ByteBuf> {
        @Override
        protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) throws IOException {
            try (ByteBufInputStream bytes = new ByteBufInputStream(in)) {
                out.add(Frame.parseFrom(bytes));
            } catch (InvalidProtocolBufferException e) {
                ctx.close();
                throw e;
            }
        }
    }

    private static final class Encoder extends MessageToByteEncoder<Frame> {
        @Override
        protected void encode(ChannelHandlerContext ctx, Frame frame, ByteBuf out) throws IOException {
            int size = frame.getSerializedSize();
            out.ensureWritable(LENGTH_BYTES + size);
            out.writeInt(size);
            try (ByteBufOutputStream bytes = new ByteBufOutputStream(out)) {
                frame.writeTo(bytes);
            }
        }
    }
}
