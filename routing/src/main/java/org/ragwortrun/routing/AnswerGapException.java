package org.ragwortrun.routing;

import org.ragwortrun.core.error.RagwortrunException;

/** Thrown when bytes of an answer are missing. */
public final class AnswerGapException extends RagwortrunException {
    private static final long serialVersionUID = 1L;

    public AnswerGapException(long expected, long actual) {
        super("the answer continues at byte " + actual + " but byte " + expected + " has not arrived");
    }

    @Override
    public String type() {
        return "answer-gap";
    }
}
