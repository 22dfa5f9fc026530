package org.ragwortrun.routing;

import java.util.Arrays;

/**
 * Holds the part of an answer that has arrived and that the caller has not read yet.
 *
 * <p>The sender may send only as much as the buffer has granted. The window starts small and doubles while the caller
 * empties the buffer, up to the bound of a stream, so that a caller who does not read holds little memory. Thread-safe.
 */
public final class StreamBuffer implements AutoCloseable {
    /** Largest window of one stream in bytes. */
    public static final int MAX_WINDOW = 64 << 10;

    /** First window of a stream in bytes. */
    public static final int FIRST_WINDOW = 4 << 10;

    private static final int MAX_PART = 8 << 10;
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

    /** Takes the first window. Returns false if the account or the process has no room for another stream. */
    public synchronized boolean open() {
        if (window > 0 || !budget.tryTake(account, FIRST_WINDOW)) {
            return window > 0;
        }
        window = FIRST_WINDOW;
        return true;
    }

    /** Returns the bytes that the sender may send in addition to what it was granted before, and grants them. */
    public synchronized int grant() {
        if (closed) {
            return 0;
        }
        int free = window - buffered - granted;
        // A grant for every few bytes would cost one frame for each token.
        if (free < window / 4) {
            return 0;
        }
        granted += free;
        return free;
    }

    /** Forgets what was granted, because the sender is another one from now on. */
    public synchronized void resetGrant() {
        granted = 0;
    }

    /**
     * Adds bytes that arrived.
     *
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
        makeRoom(data.length);
        System.arraycopy(data, 0, bytes, start + buffered, data.length);
        buffered += data.length;
    }

    /** Removes and returns the oldest bytes, none if the buffer is empty. */
    public synchronized byte[] poll() {
        int length = Math.min(MAX_PART, buffered);
        byte[] part = Arrays.copyOfRange(bytes, start, start + length);
        buffered -= length;
        start = buffered == 0 ? 0 : start + length;
        if (buffered == 0 && bytes.length > FIRST_WINDOW) {
            // A stream that waits for its next token holds no array of a former burst.
            bytes = EMPTY;
        }
        return part;
    }

    /** Doubles the window if the caller has read everything and the budget has room. */
    public synchronized void widen() {
        if (closed || buffered > 0 || window >= MAX_WINDOW) {
            return;
        }
        int more = Math.min(window, MAX_WINDOW - window);
        if (budget.tryTake(account, more)) {
            window += more;
        }
    }

    /** Grows the window to its bound at once if the budget has room. Returns whether it has its full size. */
    public synchronized boolean widenFully() {
        int more = MAX_WINDOW - window;
        if (!closed && more > 0 && budget.tryTake(account, more)) {
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

    /** Drops what is buffered and keeps the window. */
    public synchronized void clear() {
        bytes = EMPTY;
        start = 0;
        buffered = 0;
    }

    /** Drops what is buffered and gives the window back. */
    @Override
    public synchronized void close() {
        if (!closed) {
            closed = true;
            clear();
            budget.giveBack(account, window);
        }
    }

    /** Makes room behind the buffered bytes. Chunks are joined, since an array for each token would cost more than it. */
    private void makeRoom(int length) {
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
