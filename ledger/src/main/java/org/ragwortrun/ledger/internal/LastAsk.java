package org.ragwortrun.ledger.internal;

import java.io.IOException;
import org.ragwortrun.proto.GrantResult;

/**
 * The newest grant request of one incarnation for a budget, so that a late copy of a request gets no second grant.
 *
 * @param counter counter in the grant id
 * @param answer the answer that was given
 * @param taken tokens granted to the incarnation so far, without what it has returned
 * @param target tokens that the incarnation wants to hold to outlast a cut
 * @param atMs time of the log entry
 */
record LastAsk(long counter, GrantResult answer, long taken, long target, long atMs) {
    LastAsk withReturned(long tokens) {
        return new LastAsk(counter, answer, taken - tokens, target, atMs);
    }

    void write(SnapshotWriter out) throws IOException {
        out.number(counter);
        out.message(answer);
        out.number(taken);
        out.number(target);
        out.number(atMs);
    }

    static LastAsk read(SnapshotReader in) throws IOException {
        return new LastAsk(in.number(), in.message(GrantResult.parser()), in.number(), in.number(), in.number());
    }
}
