package org.ragwortrun.router.internal.flow;

import java.io.IOException;

/** Thrown to the HTTP front when an answer that has started cannot be finished. */
public final class BrokenAnswerException extends IOException {
    private static final long serialVersionUID = 1L;

    public BrokenAnswerException(String reason) {
        super("the answer ends early: " + reason);
    }
}
