package org.ragwortrun.router.internal.forward;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;

/**
 * Cuts a stream of server-sent events into whole events.
 *
 * <p>A caller gets whole events only, so that another endpoint can go on after the last one. What follows the last
 * complete event is held back.
 */
final class EventSplitter implements AutoCloseable {
    // An event of the deployments has a few hundred bytes; what is longer is not an event stream.
    private static final int MOST_HELD = 256 << 10;

    private static final byte[] ID = {'i', 'd'};
    private static final byte[] DATA = {'d', 'a', 't', 'a'};

    private final ByteBuf held = Unpooled.buffer();
    private OptionalLong lastId = OptionalLong.empty();
    private long firstId = -1;
    private int events;

    /**
     * Adds bytes.
     *
     * @return the whole events that are now complete, or an empty buffer
     */
    ByteBuf add(ByteBuf bytes) {
        held.writeBytes(bytes);
        int end = lastBoundary();
        if (end == 0) {
            return Unpooled.EMPTY_BUFFER;
        }
        ByteBuf whole = held.readBytes(end);
        held.discardReadBytes();
        count(whole);
        return whole;
    }

    /** Takes the id of the last whole event that was added. */
    OptionalLong lastId() {
        return lastId;
    }

    /** Returns the id of the first event since the splitter was created or reset, -1 if none had one. */
    long firstId() {
        return firstId;
    }

    /** Returns the number of whole events. */
    int events() {
        return events;
    }

    boolean hasRest() {
        return held.isReadable();
    }

    boolean isTooLong() {
        return held.readableBytes() > MOST_HELD;
    }

    /** Forgets the part of an event that its endpoint did not complete, before another endpoint goes on. */
    void reset() {
        held.clear();
        firstId = -1;
    }

    @Override
    public void close() {
        held.release();
    }

    /** Returns the bytes up to the end of the last blank line. */
    private int lastBoundary() {
        for (int i = held.writerIndex() - 1; i > held.readerIndex(); i--) {
            if (held.getByte(i) == '\n') {
                byte before = held.getByte(i - 1);
                boolean blank = before == '\n'
                        || (before == '\r' && i - 2 >= held.readerIndex() && held.getByte(i - 2) == '\n');
                if (blank) {
                    return i + 1 - held.readerIndex();
                }
            }
        }
        return 0;
    }

    /** Reads the lines of whole events as bytes, without a text for each: this runs for each event of each stream. */
    private void count(ByteBuf whole) {
        boolean any = false;
        int start = whole.readerIndex();
        int end = whole.writerIndex();
        while (start < end) {
            int newline = whole.indexOf(start, end, (byte) '\n');
            int stop = newline < 0 ? end : newline;
            int length = stop - start;
            if (length > 0 && whole.getByte(stop - 1) == '\r') {
                length--;
            }
            if (length == 0) {
                events += any ? 1 : 0;
                any = false;
            } else {
                boolean id = startsWith(whole, start, length, ID);
                any |= id || startsWith(whole, start, length, DATA);
                if (id && length > ID.length && whole.getByte(start + ID.length) == ':') {
                    noteId(whole.toString(start + ID.length + 1, length - ID.length - 1, StandardCharsets.UTF_8)
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

    private void noteId(String text) {
        try {
            long id = Long.parseLong(text);
            firstId = firstId < 0 ? id : firstId;
            lastId = OptionalLong.of(id);
        } catch (NumberFormatException e) {
            // An id of another form cannot be resumed from; the stream is passed on as it is.
            lastId = OptionalLong.empty();
        }
    }
}
