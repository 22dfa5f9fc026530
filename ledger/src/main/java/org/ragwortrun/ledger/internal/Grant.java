package org.ragwortrun.ledger.internal;

import java.io.IOException;

/**
 * Tokens granted to one router incarnation.
 *
 * @param id id chosen by the router
 * @param incarnation router incarnation that holds the grant
 * @param amount tokens granted initially
 * @param settled tokens that usage reports deducted from this grant: billed, used by a run of a request that was billed
 *     under another grant, or returned to the budget with the report
 * @param returned tokens that the router has returned
 * @param issuedMs time of the log entry that issued the grant
 */
record Grant(String id, String incarnation, long amount, long settled, long returned, long issuedMs) {
    long outstanding() {
        return amount - settled - returned;
    }

    Grant withSettled(long tokens) {
        return new Grant(id, incarnation, amount, settled + tokens, returned, issuedMs);
    }

    Grant withReturned(long total) {
        return new Grant(id, incarnation, amount, settled, total, issuedMs);
    }

    void write(SnapshotWriter out) throws IOException {
        out.text(id);
        out.text(incarnation);
        out.number(amount);
        out.number(settled);
        out.number(returned);
        out.number(issuedMs);
    }

    static Grant read(SnapshotReader in) throws IOException {
        return new Grant(in.text(), in.text(), in.number(), in.number(), in.number(), in.number());
    }
}
