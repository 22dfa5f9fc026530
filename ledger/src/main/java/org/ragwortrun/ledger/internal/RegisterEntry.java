package org.ragwortrun.ledger.internal;

import java.nio.ByteBuffer;
import org.apache.commons.codec.digest.DigestUtils;
import org.jspecify.annotations.Nullable;
import org.ragwortrun.proto.RunState;

/**
 * Register entry of one request.
 *
 * @param digest digest of the content, {@link Digest#NONE} if the request was billed without a claim
 * @param repeatable whether the request may run more than once
 * @param state outcome of the newest attempt
 * @param attempt the newest attempt
 * @param claimedMs time of the newest claim, or of the bill if the request was not claimed
 * @param bill the bill, null until the request is billed
 */
record RegisterEntry(
        Digest digest,
        boolean repeatable,
        RunState state,
        Attempt attempt,
        long claimedMs,
        @Nullable Bill bill) {

    RegisterEntry withState(RunState next) {
        return new RegisterEntry(digest, repeatable, next, attempt, claimedMs, bill);
    }

    RegisterEntry withBill(Bill next) {
        return new RegisterEntry(digest, repeatable, RunState.RUN_RAN, attempt, claimedMs, next);
    }

    /** A content digest shortened to 16 bytes. */
    record Digest(long high, long low) {
        static final Digest NONE = new Digest(0, 0);

        /** Shortens a content digest of any length to 16 bytes. An empty array results in {@link #NONE}. */
        static Digest of(byte[] bytes) {
            if (bytes.length == 0) {
                return NONE;
            }
            ByteBuffer digest = ByteBuffer.wrap(DigestUtils.sha256(bytes));
            return new Digest(digest.getLong(), digest.getLong());
        }
    }
}
