package org.ragwortrun.net;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.ragwortrun.proto.Frame;
import org.ragwortrun.proto.Hello;

/** An open connection to another process. */
public interface Peer {
    /** Returns the {@code Hello} of the other process. */
    Hello hello();

    /** Sends a one-way frame or a reply. Returns false if the connection is closed. */
    boolean send(Frame frame);

    /**
     * Sends a request and completes with the first reply.
     *
     * <p>Fails with {@link TransportException}. A reply of type {@code ErrorReply} or {@code NotLeader} completes
     * normally; the caller must check the type.
     */
    CompletableFuture<Frame> call(Frame.Builder request, Duration timeout);

    /**
     * Sends a request and passes all replies to the listener until the call is closed or the connection ends.
     *
     * @return the call, or a closed one if the frame was not sent; then the listener receives
     *     {@code onLost} with {@code NOT_SENT}
     */
    OpenCall open(Frame.Builder request, FrameListener listener);

    /** Returns whether the send buffer has room. */
    boolean isWritable();

    boolean isOpen();

    /** Returns the time since the last frame of the other process in nanoseconds. Keep-alive frames count. */
    long nanosSinceLastFrame();

    void close();
}
