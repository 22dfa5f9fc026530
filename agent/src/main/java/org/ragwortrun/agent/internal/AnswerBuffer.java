package org.ragwortrun.agent.internal;

import com.google.protobuf.ByteString;
import java.util.Arrays;

/**
 * Buffer of the bytes of one answer, addressed by offset.
 *
 * <p>Once an answer exceeds its limit, the oldest bytes that every subscriber has received are dropped; the start offset
 * is the first offset that is still kept.
 */
final class AnswerBuffer {
    private static final int INITIAL_CAPACITY_BYTES = 512;

    private byte[] bytes = new byte[INITIAL_CAPACITY_BYTES];
    private int length;
    private long startOffset;

    void append(byte[] data) {
        if (length + data.length > bytes.length) {
            bytes = Arrays.copyOf(bytes, Math.max(bytes.length * 2, length + data.length));
        }
        System.arraycopy(data, 0, bytes, length, data.length);
        length += data.length;
    }

    /** Returns the offset after the last byte. */
    long endOffset() {
        return startOffset + length;
    }

    /** Returns the first offset that is kept. */
    long startOffset() {
        return startOffset;
    }

    int length() {
        return length;
    }

    /** Returns the number of bytes of memory that the buffer occupies. */
    int capacity() {
        return bytes.length;
    }

    /** Returns whether a UTF-8 character starts, or the answer ends, at an offset. */
    boolean isCharacterStart(long offset) {
        return offset >= endOffset() || (bytes[(int) (offset - startOffset)] & 0xC0) != 0x80;
    }

    ByteString slice(long from, int count) {
        return ByteString.copyFrom(bytes, (int) (from - startOffset), count);
    }

    /** Drops bytes before an offset. */
    void dropBefore(long offset) {
        int drop = (int) Math.min(length, Math.max(0, offset - startOffset));
        if (drop > 0) {
            bytes = Arrays.copyOfRange(bytes, drop, Math.max(length, drop + INITIAL_CAPACITY_BYTES));
            length -= drop;
            startOffset += drop;
        }
    }

    /** Releases unused memory once the answer is complete. */
    void trim() {
        bytes = Arrays.copyOf(bytes, Math.max(1, length));
    }
}
