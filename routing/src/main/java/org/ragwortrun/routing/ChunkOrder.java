package org.ragwortrun.routing;

import java.util.Arrays;

/** Puts the chunks of an answer in order: repeated bytes are dropped and a gap is a failure. */
public final class ChunkOrder {
    private long next;

    /** Returns the offset of the first byte that has not arrived. */
    public long next() {
        return next;
    }

    /**
     * Accepts a chunk.
     *
     * @return the bytes that had not arrived before, possibly none
     * @throws AnswerGapException if bytes before the chunk are missing
     */
    public byte[] accept(long offset, byte[] data) throws AnswerGapException {
        if (offset > next) {
            throw new AnswerGapException(next, offset);
        }
        long known = Math.min(data.length, next - offset);
        next += data.length - known;
        return known == 0 ? data : Arrays.copyOfRange(data, (int) known, data.length);
    }
}
