package org.ragwortrun.router.internal.flow;

/** Renders an answer as the response body. Used by one thread at a time. */
public interface AnswerRenderer {
    /** Returns the bytes that precede the answer. */
    byte[] head();

    /** Renders a part of the answer. A part may begin or end in the middle of a character. */
    byte[] part(byte[] data);

    /** Returns the bytes that follow a complete answer. */
    byte[] tail(AnswerSummary summary);
}
