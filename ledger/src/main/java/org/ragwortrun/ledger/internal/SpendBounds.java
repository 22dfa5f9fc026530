package org.ragwortrun.ledger.internal;

import java.io.IOException;
import org.ragwortrun.proto.RequestGrant;
import org.ragwortrun.proto.SpendMark;

/**
 * What bounds the spending of one incarnation from a budget since it was last heard.
 *
 * @param target tokens that it wants to hold to outlast a cut, 0 for none
 * @param targetMs span for which the target lasts
 * @param burst tokens that it may spend at once without an acknowledgement
 * @param reserved reservations without an acknowledged bill that it declared last
 * @param total all reservations that it declared so far
 * @param acknowledgedMs time of its last acknowledgement before it declared them
 * @param peakRate highest rate before the last request for tokens and since the last declaration, in tokens a ms
 */
record SpendBounds(long target, long targetMs, long burst, long reserved, long total, long acknowledgedMs, double peakRate) {
    /**
     * Time without an acknowledgement after which a router spends at its rate without one. It is longer than a process
     * takes to end and to start again, so that such a loss costs only the burst and what the process had declared.
     * Callers of a router that is cut off are sent on to others meanwhile.
     */
    static final long UNACKNOWLEDGED_DELAY_MS = 2_500;

    static final SpendBounds NONE = new SpendBounds(0, 0, 0, 0, 0, 0, 0);

    SpendBounds withRequest(RequestGrant ask, long nowMs) {
        long marked = acknowledgedMs == 0 ? nowMs : acknowledgedMs;
        return new SpendBounds(
                Math.max(0, ask.getTarget()),
                ask.getTargetMs(),
                Math.max(burst, ask.getBurst()),
                reserved,
                total,
                marked,
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

    /** Returns the most that can have been spent without being settled, by a process that ended at a time. */
    long maxUnsettled(long endMs) {
        if (targetMs <= 0) {
            return Long.MAX_VALUE;
        }
        // Until it declares again, it may have spent at the rate before its last request.
        double rate = Math.max(rate(), peakRate);
        // A conversion from a double saturates, where a sum of longs would overflow.
        double silentMs = (double) endMs - acknowledgedMs - UNACKNOWLEDGED_DELAY_MS;
        return (long) Math.ceil(reserved + burst + rate * Math.max(0, silentMs));
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
