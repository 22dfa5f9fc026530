package org.ragwortrun.agent.internal;

import java.util.Arrays;

/**
 * Output tokens by offset of the answer, for readers that have received only a part.
 *
 * <p>A mark is set every few bytes; between marks the count of the mark before holds. A count that is too low by a few
 * tokens lets a resumed answer grow by as many, within its reservation; one that is too high would cut it short.
 */
final class TokenMarks {
    private static final int SPACING = 32;
    private static final int FIRST = 16;

    private long[] offsets = new long[FIRST];
    private long[] tokens = new long[FIRST];
    private int size;

    void add(long offset, long count) {
        if (size > 0 && offset - offsets[size - 1] < SPACING) {
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

    /** Returns the tokens before an offset, or the fallback if no mark lies before it. */
    long before(long offset, long fallback) {
        int at = Arrays.binarySearch(offsets, 0, size, offset);
        int mark = at >= 0 ? at : -at - 2;
        return mark < 0 ? fallback : tokens[mark];
    }
}
