package org.ragwortrun.agent.internal;

import com.google.protobuf.ByteString;
import java.util.Arrays;

/**
 * Bytes of one answer by offset.
 *
 * <p>It keeps the answer from its start. Beyond a bound, or under memory pressure, the oldest bytes that every reader
 * has received are dropped; the floor tells the first offset that is still kept.
 */
final class AnswerBuffer {
    private static final int FIRST_BYTES = 512;

    private byte[] bytes = new byte[FIRST_BYTES];
    private int length;
    private long floor;

    void append(byte[] data) {
        if (length + data.length > bytes.length) {
            bytes = Arrays.copyOf(bytes, Math.max(bytes.length * 2, length + data.length));
        }
        System.arraycopy(data, 0, bytes, length, data.length);
        length += data.length;
    }

    /** Returns the offset after the last byte. */
    long end() {
        return floor + length;
    }

    /** Returns the first offset that is kept. */
    long floor() {
        return floor;
    }

    int kept() {
        return length;
    }

    /** Returns the memory that the buffer uses. */
    int memory() {
        return bytes.length;
    }

    /** Returns whether a character of UTF-8 starts at an offset, or the answer ends there. */
    boolean isCharacterStart(long offset) {
        return offset >= end() || (bytes[(int) (offset - floor)] & 0xC0) != 0x80;
    }

    ByteString slice(long from, int count) {
        return ByteString.copyFrom(bytes, (int) (from - floor), count);
    }

    /** Drops bytes before an offset. */
    void dropBefore(long offset) {
        int drop = (int) Math.min(length, Math.max(0, offset - floor));
        if (drop > 0) {
            bytes = Arrays.copyOfRange(bytes, drop, Math.max(length, drop + FIRST_BYTES));
            length -= drop;
            floor += drop;
        }
    }

    /** Gives unused memory back when the answer is whole. */
    void trim() {
        bytes = Arrays.copyOf(bytes, Math.max(1, length));
    }
}
