package org.ragwortrun.router.internal.forward;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.function.BooleanSupplier;

/** Answers the readiness check of a load balancer with 200 if this router is ready, otherwise with 503. */
final class ReadinessHandler extends SimpleChannelInboundHandler<HttpObject> {
    private final BooleanSupplier ready;

    ReadinessHandler(BooleanSupplier ready) {
        super(HttpObject.class);
        this.ready = ready;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject part) {
        if (part instanceof LastHttpContent) {
            HttpResponseStatus status =
                    ready.getAsBoolean() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE;
            DefaultFullHttpResponse out =
                    new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER);
            out.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
            ctx.writeAndFlush(out);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }
}
