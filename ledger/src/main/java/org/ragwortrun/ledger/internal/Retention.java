package org.ragwortrun.ledger.internal;

import java.io.IOException;

/**
 * Time limits for the entries of the register and for the grants under which usage is billed.
 *
 * <p>A delayed duplicate of a usage report must not be billed again after its bill has been evicted. Let R be the
 * retention time of ids. An id that is used more than R after its bill belongs to a new request. Bills before a limit L
 * are evicted. A usage whose grant was issued at L + R or later cannot duplicate an evicted bill. A bill is therefore
 * kept while a grant is open that was issued less than R after the bill, but for at most 2 R. Usage under older grants is
 * rejected. If ids must be removed after 24 hours, R is at most 12 hours.
 */
final class Retention {
    private long forgottenBeforeMs;
    private long acceptFromMs;

    /** Returns the time before which entries have been evicted. */
    long forgottenBeforeMs() {
        return forgottenBeforeMs;
    }

    /** Returns the earliest issue time of a grant under which usage is still billed. */
    long acceptFromMs() {
        return acceptFromMs;
    }

    /** Advances the limits and returns the time before which entries must be evicted. */
    long advance(long beforeMs, long nowMs, long oldestGrantMs) {
        long kept = Math.max(0, nowMs - beforeMs);
        long limit = Math.min(beforeMs, Math.max(oldestGrantMs - kept, beforeMs - kept));
        if (limit > forgottenBeforeMs) {
            forgottenBeforeMs = limit;
            acceptFromMs = Math.max(acceptFromMs, limit + kept);
        }
        return forgottenBeforeMs;
    }

    void write(SnapshotWriter out) throws IOException {
        out.number(forgottenBeforeMs);
        out.number(acceptFromMs);
    }

    void read(SnapshotReader in) throws IOException {
        forgottenBeforeMs = in.number();
        acceptFromMs = in.number();
    }
}
