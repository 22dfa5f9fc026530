package org.ragwortrun.net.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.HttpURLConnection;
import java.net.URI;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Reads documents over HTTP with limits on time and size.
 *
 * <p>A faulty server may send an endless body, or one byte at a time. The limits protect the memory and the thread of
 * the reader.
 */
public final class DocumentReader {
    private static final int BUFFER_BYTES = 16 << 10;

    private final Duration idleTimeout;
    private final Duration totalTimeout;
    private final int maxBytes;

    /**
     * Creates a reader.
     *
     * @param idleTimeout maximum time to connect and between two reads
     * @param totalTimeout maximum time for the headers, and for headers and body together
     * @param maxBytes maximum size of the body in bytes
     */
    public DocumentReader(Duration idleTimeout, Duration totalTimeout, int maxBytes) {
        this.idleTimeout = idleTimeout;
        this.totalTimeout = totalTimeout;
        this.maxBytes = maxBytes;
    }

    /**
     * Returns the body of a document.
     *
     * @throws UnexpectedStatusException if the status is not 200
     * @throws EndlessDocumentException if it exceeds a limit
     * @throws IOException if it cannot be read
     */
    public byte[] read(URI address) throws IOException {
        HttpURLConnection call = (HttpURLConnection) address.toURL().openConnection();
        call.setConnectTimeout((int) idleTimeout.toMillis());
        call.setReadTimeout((int) idleTimeout.toMillis());
        long end = System.nanoTime() + totalTimeout.toNanos();
        int status = status(call);
        if (status != HttpURLConnection.HTTP_OK) {
            call.disconnect();
            throw new UnexpectedStatusException(status);
        }
        return body(call, end);
    }

    /** Reads the status and headers. Closes the connection if they are not complete in time. */
    private int status(HttpURLConnection call) throws IOException {
        AtomicBoolean done = new AtomicBoolean();
        CompletableFuture.delayedExecutor(totalTimeout.toMillis(), TimeUnit.MILLISECONDS)
                .execute(() -> {
                    if (done.compareAndSet(false, true)) {
                        call.disconnect();
                    }
                });
        int status = call.getResponseCode();
        done.set(true);
        String line = call.getHeaderField(0);
        if (line == null || !StatusLines.isWellFormed(line)) {
            call.disconnect();
            throw new IOException("the answer has no valid status line");
        }
        return status;
    }

    private byte[] body(HttpURLConnection call, long end) throws IOException {
        InputStream in = call.getInputStream();
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        byte[] buffer = new byte[BUFFER_BYTES];
        for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
            body.write(buffer, 0, n);
            if (body.size() > maxBytes || end - System.nanoTime() < 0) {
                call.disconnect();
                throw new EndlessDocumentException(call.getURL().getHost());
            }
        }
        in.close();
        return body.toByteArray();
    }
}
