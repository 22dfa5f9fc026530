package org.ragwortrun.ledger.internal;

import java.util.Arrays;

/** Sums the demanded tokens over a sliding time window of eight steps. */
public final class DemandMeter {
    private static final int STEPS = 8;

    private final long stepMs;
    private final long[] sums = new long[STEPS];
    private long step = Long.MIN_VALUE;

    public DemandMeter(long windowMs) {
        stepMs = Math.max(1, windowMs / STEPS);
    }

    public void add(long tokens, long nowMs) {
        advance(nowMs);
        int i = Math.floorMod(step, STEPS);
        sums[i] = tokens > Long.MAX_VALUE - sums[i] ? Long.MAX_VALUE : sums[i] + tokens;
    }

    /** Returns the sum over the window that ends now, limited to a quarter of Long.MAX_VALUE to avoid overflows. */
    public long sum(long nowMs) {
        advance(nowMs);
        long sum = 0;
        for (long s : sums) {
            sum = Math.min(Long.MAX_VALUE / 4, sum + Math.min(s, Long.MAX_VALUE / 4));
        }
        return sum;
    }

    private void advance(long nowMs) {
        long current = Math.floorDiv(nowMs, stepMs);
        if (step == Long.MIN_VALUE || current - step >= STEPS) {
            Arrays.fill(sums, 0);
            step = current;
        }
        while (step < current) {
            step++;
            sums[Math.floorMod(step, STEPS)] = 0;
        }
    }
}
