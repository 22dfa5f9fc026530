package org.ragwortrun.ledger.internal;

import java.nio.ByteBuffer;
import org.apache.commons.codec.digest.DigestUtils;
import org.jspecify.annotations.Nullable;
import org.ragwortrun.proto.RunState;

/**
 * What the register knows about one request.
 *
 * @param digest digest of the content, {@link Digest#NONE} if the request was billed without a claim
 * @param repeatable whether the request may run more than once
 * @param state outcome of the newest attempt
 * @param attempt the newest attempt
 * @param claimedMs time of the newest claim, or of the bill if there was no claim
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

    RegisterEntry billed(Bill next) {
        return new RegisterEntry(digest, repeatable, RunState.RUN_RAN, attempt, claimedMs, next);
    }

    /** The 16 bytes of a content digest. */
    record Digest(long high, long low) {
        static final Digest NONE = new Digest(0, 0);

        /** Shortens a content digest of any length to 16 bytes. No bytes stand for no digest. */
        static Digest of(byte[] bytes) {
            if (bytes.length == 0) {
                return NONE;
            }
            ByteBuffer digest = ByteBuffer.wrap(DigestUtils.sha256(bytes));
            return new Digest(digest.getLong(), digest.getLong());
        }
    }
}
