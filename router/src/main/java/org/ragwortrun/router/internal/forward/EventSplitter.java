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
        count(whole.toString(StandardCharsets.UTF_8));
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

    private void count(String whole) {
        boolean any = false;
        for (String line : whole.split("\r?\n", -1)) {
            if (line.isEmpty()) {
                events += any ? 1 : 0;
                any = false;
                continue;
            }
            any |= line.startsWith("data") || line.startsWith("id");
            if (line.startsWith("id:")) {
                noteId(line.substring(3).trim());
            }
        }
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
