package org.ragwortrun.core.log;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A bounded buffer of log lines that one thread writes out.
 *
 * <p>Logging never waits for the output. A line that does not fit is dropped and counted. Lines are written in
 * batches, so that a busy daemon makes few system calls for its log.
 */
final class LogBuffer implements AutoCloseable {
    private static final int CAPACITY_BYTES = 256 << 10;
    private static final long BATCH_DELAY_MS = 40;
    private static final long CLOSE_TIMEOUT_MS = 1_000;
    private static final AtomicLong DROPPED = new AtomicLong();

    private final OutputStream out;
    private final Thread writer;
    private final Object lock = new Object();
    private byte[] filling = new byte[CAPACITY_BYTES];
    private byte[] writing = new byte[CAPACITY_BYTES];
    private int length;
    private long dropped;
    private boolean closed;

    private LogBuffer(OutputStream out) {
        this.out = out;
        writer = new Thread(this::run, "log");
        writer.setDaemon(true);
    }

    /** Starts a buffer that is written to a stream. */
    static LogBuffer start(OutputStream out) {
        LogBuffer buffer = new LogBuffer(out);
        buffer.writer.start();
        return buffer;
    }

    /** Returns the number of lines dropped in this process. */
    static long droppedLines() {
        return DROPPED.get();
    }

    /** Adds a line, or drops it if the buffer is full. Does not wait for the output. */
    void add(String line) {
        byte[] bytes = line.getBytes(StandardCharsets.UTF_8);
        synchronized (lock) {
            if (length + bytes.length > filling.length) {
                dropped++;
                DROPPED.incrementAndGet();
                return;
            }
            System.arraycopy(bytes, 0, filling, length, bytes.length);
            if (length == 0) {
                lock.notifyAll();
            }
            length += bytes.length;
        }
    }

    /** Writes the remaining lines, but waits for one second at most. */
    @Override
    public void close() {
        synchronized (lock) {
            closed = true;
            lock.notifyAll();
        }
        try {
            writer.join(CLOSE_TIMEOUT_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void run() {
        try {
            while (writeNext()) {
                // repeat until the buffer is closed and empty
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException e) {
            // The output is unusable, and there is no other place to report the failure.
            synchronized (lock) {
                filling = new byte[0];
            }
        }
    }

    private boolean writeNext() throws InterruptedException, IOException {
        int count;
        long droppedLines;
        synchronized (lock) {
            while (length == 0 && dropped == 0) {
                if (closed) {
                    return false;
                }
                lock.wait();
            }
            if (!closed) {
                // Lines that other threads add in the meantime are written with the same call.
                lock.wait(BATCH_DELAY_MS);
            }
            byte[] next = filling;
            filling = writing;
            writing = next;
            count = length;
            droppedLines = dropped;
            length = 0;
            dropped = 0;
        }
        out.write(writing, 0, count);
        if (droppedLines > 0) {
            out.write(("event=log-lines-dropped lines=" + droppedLines + "\n").getBytes(StandardCharsets.UTF_8));
            TimeUnit.MILLISECONDS.sleep(BATCH_DELAY_MS);
        }
        return true;
    }
}
