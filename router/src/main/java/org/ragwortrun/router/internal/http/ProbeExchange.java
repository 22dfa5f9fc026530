package org.ragwortrun.router.internal.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.impl.BasicEntityDetails;
import org.apache.hc.core5.http.message.BasicHttpResponse;
import org.apache.hc.core5.http.nio.AsyncServerExchangeHandler;
import org.apache.hc.core5.http.nio.CapacityChannel;
import org.apache.hc.core5.http.nio.DataStreamChannel;
import org.apache.hc.core5.http.nio.ResponseChannel;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.jspecify.annotations.Nullable;

/** Answers a liveness or readiness probe of the balancer with 200 or 503. */
final class ProbeExchange implements AsyncServerExchangeHandler {
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;

    private final BooleanSupplier check;
    private ByteBuffer text = ByteBuffer.allocate(0);

    ProbeExchange(BooleanSupplier check) {
        this.check = check;
    }

    @Override
    public void handleRequest(
            HttpRequest request, @Nullable EntityDetails entity, ResponseChannel channel, HttpContext context)
            throws HttpException, IOException {
        boolean ok = check.getAsBoolean();
        text = ByteBuffer.wrap((ok ? "ok\n" : "not ready\n").getBytes(StandardCharsets.UTF_8));
        channel.sendResponse(
                new BasicHttpResponse(ok ? OK : UNAVAILABLE),
                new BasicEntityDetails(text.remaining(), ContentType.TEXT_PLAIN),
                context);
    }

    @Override
    public void updateCapacity(CapacityChannel capacity) throws IOException {
        capacity.update(Integer.MAX_VALUE);
    }

    @Override
    public void consume(ByteBuffer src) {
        src.position(src.limit());
    }

    @Override
    public void streamEnd(@Nullable List<? extends Header> trailers) {}

    @Override
    public int available() {
        return text.remaining();
    }

    @Override
    public void produce(DataStreamChannel channel) throws IOException {
        channel.write(text);
        if (!text.hasRemaining()) {
            channel.endStream(null);
        }
    }

    @Override
    public void failed(Exception cause) {}

    @Override
    public void releaseResources() {}
}
