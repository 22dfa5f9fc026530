package org.ragwortrun.router.internal.flow;

import org.jspecify.annotations.Nullable;
import org.ragwortrun.router.internal.ledger.Reservation;

/**
 * Ends the reservation of one request exactly once.
 *
 * <p>After a run whose end was not seen, the shard may bill the lost run first. The unused part is then held instead of
 * being spent a second time.
 */
final class ReservationHolder {
    private @Nullable Reservation reservation;
    private boolean uncertain;

    void set(Reservation r) {
        reservation = r;
    }

    boolean isSet() {
        return reservation != null;
    }

    String grantId() {
        Reservation r = reservation;
        return r == null ? "" : r.grantId();
    }

    /** A dispatch was sent and its end was not seen. */
    void markUncertain() {
        uncertain = true;
    }

    void settle(long tokens) {
        Reservation r = take();
        if (r == null) {
            return;
        }
        if (uncertain) {
            r.hold();
        } else {
            r.settle(tokens);
        }
    }

    void release() {
        Reservation r = take();
        if (r == null) {
            return;
        }
        if (uncertain) {
            r.hold();
        } else {
            r.release();
        }
    }

    void hold() {
        Reservation r = take();
        if (r != null) {
            r.hold();
        }
    }

    private @Nullable Reservation take() {
        Reservation r = reservation;
        reservation = null;
        return r;
    }
}
