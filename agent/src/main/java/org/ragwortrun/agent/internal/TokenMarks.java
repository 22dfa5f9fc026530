package org.ragwortrun.agent.internal;

import java.util.Arrays;

/**
 * Output token counts by offset of the answer, for subscribers that have received only a part.
 *
 * <p>A mark is set every few bytes; between two marks the count of the earlier one applies. A count that is a few tokens
 * too low lets a resumed answer grow by as many, within its reservation; a count that is too high would truncate it.
 */
final class TokenMarks {
    private static final int MIN_SPACING_BYTES = 32;
    private static final int INITIAL_CAPACITY = 16;

    private long[] offsets = new long[INITIAL_CAPACITY];
    private long[] tokens = new long[INITIAL_CAPACITY];
    private int size;

    void add(long offset, long count) {
        if (size > 0 && offset - offsets[size - 1] < MIN_SPACING_BYTES) {
            return;
        }
        if (size == offsets.length) {
            offsets = Arrays.copyOf(offsets, size * 2);
            tokens = Arrays.copyOf(tokens, size * 2);
        }
        offsets[size] = offset;
        tokens[size] = count;
        size++;
    }

    /** Returns the number of tokens before an offset, or the fallback if there is no mark before it. */
    long tokensBefore(long offset, long fallback) {
        int at = Arrays.binarySearch(offsets, 0, size, offset);
        int mark = at >= 0 ? at : -at - 2;
        return mark < 0 ? fallback : tokens[mark];
    }
}
