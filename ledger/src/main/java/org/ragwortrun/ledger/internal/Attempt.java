package org.ragwortrun.ledger.internal;

/** The newest attempt of a request. The number is 0 if the request was never claimed. */
record Attempt(int number, String incarnation, String agent, String agentIncarnation) {
    static final Attempt NONE = new Attempt(0, "", "", "");
}
