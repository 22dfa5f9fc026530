package org.ragwortrun.ledger.internal;

import java.io.IOException;

/**
 * Limits in time of what the register remembers and of the grants under which usage is billed.
 *
 * <p>A late copy of a report must not be billed again after the register has forgotten the bill. Let R be the time for
 * which ids are remembered. A use of an id more than R after its bill is a new request. So a usage is no copy of a
 * forgotten bill if its grant was issued at least R after the time before which bills are forgotten. Bills therefore
 * stay until R after the issue of the oldest open grant, but not longer than 2 R. Usage under a grant that is still
 * older is rejected. So for ids that are to be gone after 24 hours, R is at most 12 hours.
 */
final class Retention {
    private long forgottenBeforeMs;
    private long acceptFromMs;

    /** Returns the time before which entries are forgotten. */
    long forgottenBeforeMs() {
        return forgottenBeforeMs;
    }

    /** Returns the issue time of the oldest grant under which usage is billed. */
    long acceptFromMs() {
        return acceptFromMs;
    }

    /** Moves the limits and returns the time before which entries are to be dropped. */
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
