package org.ragwortrun.ledger.internal;

import java.io.IOException;
import org.ragwortrun.proto.GrantResult;

/**
 * The newest grant request of one incarnation for a budget. It prevents a second grant for a duplicate request.
 *
 * @param counter counter in the grant id
 * @param answer grant result that was returned
 * @param netGranted tokens granted to the incarnation so far, minus those it has returned
 * @param bounds upper bounds on the unsettled spending of the incarnation
 * @param atMs time of the log entry
 */
record LastGrantRequest(long counter, GrantResult answer, long netGranted, SpendBounds bounds, long atMs) {
    LastGrantRequest withReturned(long tokens) {
        return new LastGrantRequest(counter, answer, netGranted - tokens, bounds, atMs);
    }

    LastGrantRequest withBounds(SpendBounds next) {
        return new LastGrantRequest(counter, answer, netGranted, next, atMs);
    }

    void write(SnapshotWriter out) throws IOException {
        out.number(counter);
        out.message(answer);
        out.number(netGranted);
        bounds.write(out);
        out.number(atMs);
    }

    static LastGrantRequest read(SnapshotReader in) throws IOException {
        return new LastGrantRequest(
                in.number(), in.message(GrantResult.parser()), in.number(), SpendBounds.read(in), in.number());
    }
}
