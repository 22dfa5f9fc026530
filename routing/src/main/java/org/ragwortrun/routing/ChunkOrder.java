package org.ragwortrun.routing;

import java.util.Arrays;

/** Assembles the chunks of an answer: drops repeated bytes and rejects gaps. */
public final class ChunkOrder {
    private long nextOffset;

    /** Returns the offset of the first byte that has not arrived. */
    public long nextOffset() {
        return nextOffset;
    }

    /**
     * Accepts a chunk.
     *
     * @return the bytes of the chunk that are new, possibly none
     * @throws AnswerGapException if bytes before the chunk are missing
     */
    public byte[] accept(long offset, byte[] data) throws AnswerGapException {
        if (offset > nextOffset) {
            throw new AnswerGapException(nextOffset, offset);
        }
        long known = Math.min(data.length, nextOffset - offset);
        nextOffset += data.length - known;
        return known == 0 ? data : Arrays.copyOfRange(data, (int) known, data.length);
    }
}
