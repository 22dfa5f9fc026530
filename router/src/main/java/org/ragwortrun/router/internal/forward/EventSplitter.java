package org.ragwortrun.router.internal.forward;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;

/**
 * Splits a stream of server-sent events into complete events.
 *
 * <p>A caller gets complete events only, so that another endpoint can resume the stream after the last one. Bytes after
 * the last complete event are buffered.
 */
final class EventSplitter implements AutoCloseable {
    // Events have a few hundred bytes; longer data is not an event stream.
    private static final int MAX_BUFFERED_BYTES = 256 << 10;

    private static final byte[] ID = {'i', 'd'};
    private static final byte[] DATA = {'d', 'a', 't', 'a'};

    private final ByteBuf buffer = Unpooled.buffer();
    private OptionalLong lastId = OptionalLong.empty();
    private long firstId = -1;
    private int events;

    /**
     * Adds bytes.
     *
     * @return the events that are now complete, or an empty buffer
     */
    ByteBuf add(ByteBuf bytes) {
        int added = buffer.writerIndex();
        buffer.writeBytes(bytes);
        int end = lastBoundary(added);
        if (end == 0) {
            return Unpooled.EMPTY_BUFFER;
        }
        ByteBuf complete = buffer.readBytes(end);
        buffer.discardReadBytes();
        scanEvents(complete);
        return complete;
    }

    /** Returns the id of the last complete event. */
    OptionalLong lastId() {
        return lastId;
    }

    /** Returns the id of the first event since the splitter was created or reset, or -1 if no event had one. */
    long firstId() {
        return firstId;
    }

    /** Returns the number of complete events. */
    int events() {
        return events;
    }

    boolean hasPartialEvent() {
        return buffer.isReadable();
    }

    /** Returns the size of the buffer. */
    int capacity() {
        return buffer.refCnt() == 0 ? 0 : buffer.capacity();
    }

    boolean isTooLong() {
        return buffer.readableBytes() > MAX_BUFFERED_BYTES;
    }

    /** Discards an incomplete event before another endpoint resumes the stream. */
    void reset() {
        buffer.clear();
        firstId = -1;
    }

    @Override
    public void close() {
        buffer.release();
    }

    /** Returns the number of bytes up to the end of the last blank line, which ends at or after an index. */
    private int lastBoundary(int from) {
        for (int i = buffer.writerIndex() - 1; i >= Math.max(from, buffer.readerIndex() + 1); i--) {
            if (buffer.getByte(i) == '\n') {
                byte before = buffer.getByte(i - 1);
                boolean blank = before == '\n'
                        || (before == '\r' && i - 2 >= buffer.readerIndex() && buffer.getByte(i - 2) == '\n');
                if (blank) {
                    return i + 1 - buffer.readerIndex();
                }
            }
        }
        return 0;
    }

    /**
     * Scans the lines of complete events as bytes and allocates no strings for them, because this runs for every event.
     */
    private void scanEvents(ByteBuf complete) {
        boolean any = false;
        int start = complete.readerIndex();
        int end = complete.writerIndex();
        while (start < end) {
            int newline = complete.indexOf(start, end, (byte) '\n');
            int stop = newline < 0 ? end : newline;
            int length = stop - start;
            if (length > 0 && complete.getByte(stop - 1) == '\r') {
                length--;
            }
            if (length == 0) {
                events += any ? 1 : 0;
                any = false;
            } else {
                boolean id = startsWith(complete, start, length, ID);
                any |= id || startsWith(complete, start, length, DATA);
                if (id && length > ID.length && complete.getByte(start + ID.length) == ':') {
                    recordId(complete.toString(start + ID.length + 1, length - ID.length - 1, StandardCharsets.UTF_8)
                            .trim());
                }
            }
            start = stop + 1;
        }
    }

    private static boolean startsWith(ByteBuf bytes, int from, int length, byte[] prefix) {
        if (length < prefix.length) {
            return false;
        }
        for (int i = 0; i < prefix.length; i++) {
            if (bytes.getByte(from + i) != prefix[i]) {
                return false;
            }
        }
        return true;
    }

    private void recordId(String text) {
        try {
            long id = Long.parseLong(text);
            firstId = firstId < 0 ? id : firstId;
            lastId = OptionalLong.of(id);
        } catch (NumberFormatException e) {
            // A stream cannot be resumed after an id that is not a number; it is still forwarded.
            lastId = OptionalLong.empty();
        }
    }
}
