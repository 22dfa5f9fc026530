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
 * Reads documents within limits of time and size.
 *
 * <p>A server in trouble may send bytes without end, or one now and then. Neither may fill the memory of a daemon or keep
 * its reader busy.
 */
public final class DocumentReader {
    private static final int PART_BYTES = 16 << 10;

    private final Duration silence;
    private final Duration whole;
    private final int mostBytes;

    /**
     * Creates a reader.
     *
     * @param silence longest time to connect, and without a byte
     * @param whole longest time for the head, and for head and body together
     * @param mostBytes longest body
     */
    public DocumentReader(Duration silence, Duration whole, int mostBytes) {
        this.silence = silence;
        this.whole = whole;
        this.mostBytes = mostBytes;
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
        call.setConnectTimeout((int) silence.toMillis());
        call.setReadTimeout((int) silence.toMillis());
        long end = System.nanoTime() + whole.toNanos();
        int status = status(call);
        if (status != HttpURLConnection.HTTP_OK) {
            call.disconnect();
            throw new UnexpectedStatusException(status);
        }
        return body(call, end);
    }

    /** Reads the head. The connection is closed if it does not end in time. */
    private int status(HttpURLConnection call) throws IOException {
        AtomicBoolean read = new AtomicBoolean();
        CompletableFuture.delayedExecutor(whole.toMillis(), TimeUnit.MILLISECONDS)
                .execute(() -> {
                    if (read.compareAndSet(false, true)) {
                        call.disconnect();
                    }
                });
        int status = call.getResponseCode();
        read.set(true);
        return status;
    }

    private byte[] body(HttpURLConnection call, long end) throws IOException {
        InputStream in = call.getInputStream();
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        byte[] part = new byte[PART_BYTES];
        for (int n = in.read(part); n >= 0; n = in.read(part)) {
            body.write(part, 0, n);
            if (body.size() > mostBytes || end - System.nanoTime() < 0) {
                call.disconnect();
                throw new EndlessDocumentException(call.getURL().getHost());
            }
        }
        in.close();
        return body.toByteArray();
    }
}
