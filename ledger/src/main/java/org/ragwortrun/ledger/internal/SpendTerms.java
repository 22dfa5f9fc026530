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
 * @param reserved open reservations that it declared last
 * @param total all reservations that it declared so far
 * @param markedMs time of the log entry that declared them
 */
record SpendTerms(long target, long targetMs, long burst, long reserved, long total, long markedMs) {
    static final SpendTerms NONE = new SpendTerms(0, 0, 0, 0, 0, 0);

    SpendTerms asked(RequestGrant ask, long nowMs) {
        long marked = markedMs == 0 ? nowMs : markedMs;
        return new SpendTerms(
                Math.max(0, ask.getTarget()),
                ask.getTargetMs(),
                Math.max(burst, ask.getBurst()),
                reserved,
                total,
                marked);
    }

    SpendTerms marked(SpendMark mark, long nowMs) {
        return mark.getTotal() < total
                ? this
                : new SpendTerms(target, targetMs, burst, mark.getReserved(), mark.getTotal(), nowMs);
    }

    /** Returns the most that can have been spent without being settled, by a process that ended at a time. */
    long most(long endMs) {
        if (targetMs <= 0) {
            return Long.MAX_VALUE;
        }
        double rate = (double) target / targetMs;
        // A conversion from a double saturates, where a sum of longs would overflow.
        return (long) Math.ceil(reserved + burst + rate * Math.max(0, (double) endMs - markedMs));
    }

    void write(SnapshotWriter out) throws IOException {
        out.number(target);
        out.number(targetMs);
        out.number(burst);
        out.number(reserved);
        out.number(total);
        out.number(markedMs);
    }

    static SpendTerms read(SnapshotReader in) throws IOException {
        return new SpendTerms(in.number(), in.number(), in.number(), in.number(), in.number(), in.number());
    }
}
