package org.ragwortrun.ledger.internal;

import java.io.IOException;
import org.ragwortrun.proto.GrantResult;

/**
 * The newest grant request of one incarnation for a budget, so that a late copy of a request gets no second grant.
 *
 * @param counter counter in the grant id
 * @param answer the answer that was given
 * @param taken tokens granted to the incarnation so far, without what it has returned
 * @param terms what bounds the spending of the incarnation
 * @param atMs time of the log entry
 */
record LastAsk(long counter, GrantResult answer, long taken, SpendTerms terms, long atMs) {
    LastAsk withReturned(long tokens) {
        return new LastAsk(counter, answer, taken - tokens, terms, atMs);
    }

    LastAsk withTerms(SpendTerms next) {
        return new LastAsk(counter, answer, taken, next, atMs);
    }

    void write(SnapshotWriter out) throws IOException {
        out.number(counter);
        out.message(answer);
        out.number(taken);
        terms.write(out);
        out.number(atMs);
    }

    static LastAsk read(SnapshotReader in) throws IOException {
        return new LastAsk(
                in.number(), in.message(GrantResult.parser()), in.number(), SpendTerms.read(in), in.number());
    }
}
