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

/** One HTTP request to the endpoint, sent at most once. The receiver controls when the response is read. */
final class HttpExchange implements AsyncClientExchangeHandler {
    /** Bytes that may be read before the receiver is asked whether to continue. */
    static final int WINDOW_BYTES = 16 << 10;

    private static final ByteBuffer EMPTY_BODY = ByteBuffer.allocate(0);

    /** Receives the parts of the response on the reactor thread. */
    interface Receiver {
        void onSent();

        void onHead(int status, List<Header> headers);

        void onData(ByteBuffer data);

        void onEnd();

        void onFailed(String detail);

        /** Returns, after each window, whether to continue reading. If not, {@link #readMore} resumes it later. */
        boolean shouldKeepReading();
    }

    private final HttpRequest request;
    private ByteBuffer body;
    private final Receiver receiver;
    private final SentRequestIds sentIds;
    private final String requestId;
    private final AtomicBoolean ended = new AtomicBoolean();
    private final Object lock = new Object();
    private volatile boolean aborted;
    private @Nullable CapacityChannel pausedChannel;
    private volatile @Nullable AsyncClientEndpoint connection;

    HttpExchange(HttpRequest request, byte[] body, Receiver receiver, SentRequestIds sentIds) {
        this.request = request;
        this.body = ByteBuffer.wrap(body);
        this.receiver = receiver;
        this.sentIds = sentIds;
        Header id = request.getFirstHeader(SentRequestIds.HEADER);
        requestId = id == null ? "" : id.getValue();
    }

    /** Sets the connection of this exchange, which the exchange releases and discards when it ends. */
    void setConnection(AsyncClientEndpoint newConnection) {
        connection = newConnection;
    }

    @Override
    public void produceRequest(RequestChannel channel, HttpContext context) throws HttpException, IOException {
        if (aborted) {
            throw new InterruptedIOException("cancelled");
        }
        if (!requestId.isEmpty()) {
            sentIds.add(requestId);
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
            // Releases the body's memory while the answer arrives.
            body = EMPTY_BODY;
            channel.endStream(null);
        }
    }

    @Override
    public void consumeInformation(HttpResponse response, HttpContext context) throws HttpException {
        // Interim (1xx) responses are otherwise ignored.
        check(response);
    }

    @Override
    public void consumeResponse(HttpResponse response, @Nullable EntityDetails entity, HttpContext context)
            throws HttpException {
        check(response);
        List<Header> headers = new ArrayList<>(List.of(response.getHeaders()));
        receiver.onHead(response.getCode(), headers);
        if (entity == null) {
            end();
        }
    }

    @Override
    public void updateCapacity(CapacityChannel channel) throws IOException {
        synchronized (lock) {
            pausedChannel = channel;
        }
        // Pausing here lets the thread serve its other connections.
        if (aborted || receiver.shouldKeepReading()) {
            readMore();
        }
    }

    @Override
    public void consume(ByteBuffer data) throws IOException {
        if (aborted) {
            // Closes the connection, so that the endpoint notices the cancellation.
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
        if (ended.compareAndSet(false, true)) {
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

    /** Resumes reading if it is paused. */
    void readMore() {
        CapacityChannel channel;
        synchronized (lock) {
            channel = pausedChannel;
            pausedChannel = null;
        }
        if (channel != null) {
            try {
                channel.update(WINDOW_BYTES);
            } catch (IOException e) {
                failed(e);
            }
        }
    }

    /** Discards further data and closes the connection when the next byte arrives. */
    void abort() {
        aborted = true;
        readMore();
    }

    private void check(HttpResponse head) throws HttpException {
        JoinedHeads.reject(head);
        sentIds.rejectOther(head, requestId);
    }

    private void end() {
        if (ended.compareAndSet(false, true)) {
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
