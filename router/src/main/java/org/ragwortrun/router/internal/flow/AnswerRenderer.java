package org.ragwortrun.router.internal.flow;

/** Turns an answer into the body that the caller reads. Used by one thread at a time. */
public interface AnswerRenderer {
    /** Returns what stands before the answer. */
    byte[] head();

    /** Returns the form of a part of the answer. The parts may be split within a character. */
    byte[] part(byte[] data);

    /** Returns what stands after a whole answer. */
    byte[] tail(AnswerEnd end);
}
