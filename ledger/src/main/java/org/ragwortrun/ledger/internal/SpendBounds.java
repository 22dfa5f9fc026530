package org.ragwortrun.ledger.internal;

import java.io.IOException;
import org.ragwortrun.proto.RequestGrant;
import org.ragwortrun.proto.SpendMark;

/**
 * Upper bounds on what one incarnation can have spent of a budget since its last declaration.
 *
 * @param target tokens that it wants to hold for a network partition, 0 for none
 * @param targetMs time over which the target may be spent without an acknowledgement
 * @param burst tokens that it may spend immediately without an acknowledgement
 * @param reserved tokens in its last declaration: reservations without an acknowledged bill
 * @param total sum of all reservations up to its last declaration, which orders the declarations
 * @param acknowledgedMs time of the last acknowledgement that it had received when it sent its last declaration
 * @param peakRate highest rate of the earlier grant requests since the last declaration, in tokens per millisecond
 */
record SpendBounds(
        long target, long targetMs, long burst, long reserved, long total, long acknowledgedMs, double peakRate) {
    /**
     * Time without an acknowledgement after which a router may spend at its rate without one. It is longer than a process
     * takes to restart, so that a restart costs only the burst and the declared tokens. During this time, a partitioned
     * router refers its callers to other routers.
     */
    static final long UNACKNOWLEDGED_DELAY_MS = 2_500;

    static final SpendBounds NONE = new SpendBounds(0, 0, 0, 0, 0, 0, 0);

    SpendBounds withRequest(RequestGrant request, long nowMs) {
        long acknowledged = acknowledgedMs == 0 ? nowMs : acknowledgedMs;
        return new SpendBounds(
                Math.max(0, request.getTarget()),
                request.getTargetMs(),
                Math.max(burst, request.getBurst()),
                reserved,
                total,
                acknowledged,
                Math.max(peakRate, rate()));
    }

    SpendBounds withMark(SpendMark mark, long nowMs) {
        return mark.getTotal() < total
                ? this
                : new SpendBounds(
                        target,
                        targetMs,
                        burst,
                        mark.getReserved(),
                        mark.getTotal(),
                        Math.max(acknowledgedMs, nowMs - mark.getAgeMs()),
                        0);
    }

    private double rate() {
        return targetMs <= 0 ? 0 : (double) target / targetMs;
    }

    /** Returns the maximum number of unsettled tokens that a process can have spent if it ended at the given time. */
    long maxUnsettled(long endMs) {
        if (targetMs <= 0) {
            return Long.MAX_VALUE;
        }
        // Until its next declaration, the process may have spent at the rate of an earlier request.
        double rate = Math.max(rate(), peakRate);
        // Computed as double because the sum of longs could overflow; the conversion to long saturates.
        double unacknowledgedMs = (double) endMs - acknowledgedMs - UNACKNOWLEDGED_DELAY_MS;
        return (long) Math.ceil(reserved + burst + rate * Math.max(0, unacknowledgedMs));
    }

    void write(SnapshotWriter out) throws IOException {
        out.number(target);
        out.number(targetMs);
        out.number(burst);
        out.number(reserved);
        out.number(total);
        out.number(acknowledgedMs);
        out.number(Double.doubleToLongBits(peakRate));
    }

    static SpendBounds read(SnapshotReader in) throws IOException {
        return new SpendBounds(
                in.number(),
                in.number(),
                in.number(),
                in.number(),
                in.number(),
                in.number(),
                Double.longBitsToDouble(in.number()));
    }
}
