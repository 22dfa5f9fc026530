package org.ragwortrun.agent.internal;

import java.io.IOException;
import java.io.InterruptedIOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.impl.BasicEntityDetails;
import org.apache.hc.core5.http.nio.AsyncClientEndpoint;
import org.apache.hc.core5.http.nio.AsyncClientExchangeHandler;
import org.apache.hc.core5.http.nio.CapacityChannel;
import org.apache.hc.core5.http.nio.DataStreamChannel;
import org.apache.hc.core5.http.nio.RequestChannel;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.jspecify.annotations.Nullable;

/** One HTTP request to the endpoint, sent once, with reading under the receiver's control. */
final class HttpExchange implements AsyncClientExchangeHandler {
    /** Bytes that are read beyond what the receiver has room for. */
    static final int WINDOW = 16 << 10;

    private static final ByteBuffer NOTHING = ByteBuffer.allocate(0);

    /** Receives the parts of the response on the reactor's thread. */
    interface Receiver {
        void onSent();

        void onHead(int status, List<Header> headers);

        void onData(ByteBuffer data);

        void onEnd();

        void onFailed(String detail);

        boolean hasRoom();
    }

    private final HttpRequest request;
    private ByteBuffer body;
    private final Receiver receiver;
    private final AtomicBoolean over = new AtomicBoolean();
    private final Object lock = new Object();
    private volatile boolean aborted;
    private @Nullable CapacityChannel paused;
    private volatile @Nullable AsyncClientEndpoint connection;

    HttpExchange(HttpRequest request, byte[] body, Receiver receiver) {
        this.request = request;
        this.body = ByteBuffer.wrap(body);
        this.receiver = receiver;
    }

    /** Takes the connection of its own that the exchange gives back when it is over. */
    void connected(AsyncClientEndpoint own) {
        connection = own;
    }

    @Override
    public void produceRequest(RequestChannel channel, HttpContext context) throws HttpException, IOException {
        if (aborted) {
            throw new InterruptedIOException("cancelled");
        }
        receiver.onSent();
        EntityDetails entity = body.hasRemaining() ? new BasicEntityDetails(body.remaining(), null) : null;
        channel.sendRequest(request, entity, context);
    }

    @Override
    public int available() {
        return body.remaining();
    }

    @Override
    public void produce(DataStreamChannel channel) throws IOException {
        if (body.hasRemaining()) {
            channel.write(body);
        }
        if (!body.hasRemaining()) {
            // The body's memory is not needed while the answer arrives.
            body = NOTHING;
            channel.endStream(null);
        }
    }

    @Override
    public void consumeInformation(HttpResponse response, HttpContext context) {
        // Interim answers carry nothing for the caller.
    }

    @Override
    public void consumeResponse(HttpResponse response, @Nullable EntityDetails entity, HttpContext context) {
        List<Header> headers = new ArrayList<>(List.of(response.getHeaders()));
        receiver.onHead(response.getCode(), headers);
        if (entity == null) {
            end();
        }
    }

    @Override
    public void updateCapacity(CapacityChannel channel) throws IOException {
        synchronized (lock) {
            if (!aborted && !receiver.hasRoom()) {
                paused = channel;
                return;
            }
        }
        channel.update(WINDOW);
    }

    @Override
    public void consume(ByteBuffer data) throws IOException {
        if (aborted) {
            // Ends the connection, so that the endpoint sees that no one reads.
            throw new InterruptedIOException("cancelled");
        }
        receiver.onData(data);
    }

    @Override
    public void streamEnd(@Nullable List<? extends Header> trailers) {
        end();
    }

    @Override
    public void failed(Exception cause) {
        if (over.compareAndSet(false, true)) {
            release();
            receiver.onFailed(cause.getClass().getSimpleName() + ": " + cause.getMessage());
        }
    }

    @Override
    public void cancel() {
        failed(new InterruptedIOException("cancelled"));
    }

    @Override
    public void releaseResources() {
        failed(new InterruptedIOException("connection closed"));
    }

    /** Reads on if reading is paused. */
    void readMore() {
        CapacityChannel channel;
        synchronized (lock) {
            channel = paused;
            paused = null;
        }
        if (channel != null) {
            try {
                channel.update(WINDOW);
            } catch (IOException e) {
                failed(e);
            }
        }
    }

    /** Drops what still arrives and ends the connection with the next byte. */
    void abort() {
        aborted = true;
        readMore();
    }

    private void end() {
        if (over.compareAndSet(false, true)) {
            release();
            receiver.onEnd();
        }
    }

    private void release() {
        AsyncClientEndpoint c = connection;
        if (c != null) {
            c.releaseAndDiscard();
        }
    }
}
