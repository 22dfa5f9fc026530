package org.ragwortrun.routing;

import java.util.Arrays;

/**
 * Buffers the part of an answer that has arrived but that the caller has not read yet.
 *
 * <p>The sender may send only as many bytes as the buffer has granted. The window starts small and doubles up to a
 * maximum while the caller empties the buffer, so that a caller that does not read uses little memory. Thread-safe.
 */
public final class StreamBuffer implements AutoCloseable {
    /** Largest window of one stream in bytes. */
    public static final int MAX_WINDOW = 64 << 10;

    /** Initial window of a stream in bytes. */
    public static final int FIRST_WINDOW = 4 << 10;

    private static final int MAX_POLL_BYTES = 8 << 10;
    private static final byte[] EMPTY = new byte[0];

    private final BufferBudget budget;
    private final String account;
    private byte[] bytes = EMPTY;
    private int start;
    private int window;
    private int buffered;
    private int granted;
    private boolean closed;

    public StreamBuffer(BufferBudget budget, String account) {
        this.budget = budget;
        this.account = account;
    }

    /** Reserves the initial window. Returns false if the account or the process has no memory for another stream. */
    public synchronized boolean open() {
        if (window > 0 || !budget.tryReserve(account, FIRST_WINDOW)) {
            return window > 0;
        }
        window = FIRST_WINDOW;
        return true;
    }

    /** Grants the sender further bytes. Returns their number, 0 if little of the window is free. */
    public synchronized int grant() {
        if (closed) {
            return 0;
        }
        int free = window - buffered - granted;
        // Granting every few bytes would cost one frame per token.
        if (free < window / 4) {
            return 0;
        }
        granted += free;
        return free;
    }

    /** Cancels the outstanding grant, because the sender has changed. */
    public synchronized void resetGrant() {
        granted = 0;
    }

    /**
     * Adds bytes that arrived.
     *
     * @param credit granted bytes that the sender used for them
     * @throws BufferOverflowException if the sender sent more than it was granted
     */
    public synchronized void add(byte[] data, int credit) throws BufferOverflowException {
        if (closed) {
            return;
        }
        if (credit > granted) {
            throw new BufferOverflowException(credit, granted);
        }
        granted -= credit;
        ensureCapacity(data.length);
        System.arraycopy(data, 0, bytes, start + buffered, data.length);
        buffered += data.length;
    }

    /** Removes and returns the oldest bytes, or an empty array if the buffer is empty. */
    public synchronized byte[] poll() {
        int length = Math.min(MAX_POLL_BYTES, buffered);
        byte[] part = Arrays.copyOfRange(bytes, start, start + length);
        buffered -= length;
        start = buffered == 0 ? 0 : start + length;
        if (buffered == 0 && bytes.length > FIRST_WINDOW) {
            // Frees a large array left by a burst while the stream waits for its next token.
            bytes = EMPTY;
        }
        return part;
    }

    /** Doubles the window if the caller has read everything and the budget allows it. */
    public synchronized void widen() {
        if (closed || buffered > 0 || window >= MAX_WINDOW) {
            return;
        }
        int more = Math.min(window, MAX_WINDOW - window);
        if (budget.tryReserve(account, more)) {
            window += more;
        }
    }

    /** Grows the window to its maximum at once if the budget allows it. Returns whether it has its maximum size. */
    public synchronized boolean widenFully() {
        int more = MAX_WINDOW - window;
        if (!closed && more > 0 && budget.tryReserve(account, more)) {
            window = MAX_WINDOW;
        }
        return window == MAX_WINDOW;
    }

    public synchronized boolean isFull() {
        return buffered >= window - window / 4;
    }

    public synchronized int buffered() {
        return buffered;
    }

    /** Discards the buffered bytes and keeps the window. */
    public synchronized void clear() {
        bytes = EMPTY;
        start = 0;
        buffered = 0;
    }

    /** Discards the buffered bytes and releases the window. */
    @Override
    public synchronized void close() {
        if (!closed) {
            closed = true;
            clear();
            budget.release(account, window);
        }
    }

    /**
     * Ensures space after the buffered bytes. One array holds all chunks, because an array per token has too much
     * overhead.
     */
    private void ensureCapacity(int length) {
        if (start + buffered + length <= bytes.length) {
            return;
        }
        int needed = buffered + length;
        byte[] target = needed <= bytes.length ? bytes : new byte[Math.max(needed, Math.min(window, 2 * needed))];
        System.arraycopy(bytes, start, target, 0, buffered);
        bytes = target;
        start = 0;
    }
}
