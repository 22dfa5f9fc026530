package org.ragwortrun.ledger.internal;

import java.io.IOException;

/**
 * Tokens that one router incarnation may spend.
 *
 * @param id name chosen by the router
 * @param incarnation router incarnation that holds the grant
 * @param amount tokens granted at first
 * @param settled tokens that usage took off this grant: billed, used by a run of a request that was billed under another
 *     grant, or returned to the budget with a usage
 * @param returned tokens that the router has given back
 * @param issuedMs time of the log entry that made the grant
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
