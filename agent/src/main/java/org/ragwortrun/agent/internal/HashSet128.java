package org.ragwortrun.agent.internal;

import java.nio.ByteBuffer;

/**
 * Set of 16-byte hashes in a flat array.
 *
 * <p>An object per element would use too much memory, because an agent records every request of its incarnation.
 */
final class HashSet128 {
    private static final int INITIAL_SLOTS = 64;

    private long[] table = new long[2 * INITIAL_SLOTS];
    private int size;

    boolean contains(ByteBuffer hash) {
        int at = slot(table, hash.getLong(0), hash.getLong(Long.BYTES));
        return table[at] != 0 || table[at + 1] != 0;
    }

    /** Adds a hash and returns whether it was new. */
    boolean add(ByteBuffer hash) {
        long high = hash.getLong(0);
        long low = hash.getLong(Long.BYTES);
        int at = slot(table, high, low);
        if (table[at] != 0 || table[at + 1] != 0) {
            return false;
        }
        table[at] = high;
        table[at + 1] = low;
        size++;
        // Grows when half full: longer probe sequences would cost more than the memory saved.
        if (size * 4 > table.length) {
            grow();
        }
        return true;
    }

    int size() {
        return size;
    }

    void clear() {
        table = new long[2 * INITIAL_SLOTS];
        size = 0;
    }

    private void grow() {
        long[] larger = new long[table.length * 2];
        for (int i = 0; i < table.length; i += 2) {
            if (table[i] != 0 || table[i + 1] != 0) {
                int at = slot(larger, table[i], table[i + 1]);
                larger[at] = table[i];
                larger[at + 1] = table[i + 1];
            }
        }
        table = larger;
    }

    private static int slot(long[] table, long high, long low) {
        int slots = table.length / 2;
        int i = (int) (low & (slots - 1));
        while (true) {
            long h = table[2 * i];
            long l = table[2 * i + 1];
            if (h == 0 && l == 0 || h == high && l == low) {
                return 2 * i;
            }
            i = (i + 1) & (slots - 1);
        }
    }
}
