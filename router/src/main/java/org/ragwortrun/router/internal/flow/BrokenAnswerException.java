package org.ragwortrun.router.internal.flow;

import java.io.IOException;

/** Thrown to the HTTP server when an answer that has started cannot be completed. */
public final class BrokenAnswerException extends IOException {
    private static final long serialVersionUID = 1L;

    public BrokenAnswerException(String reason) {
        super("the answer is incomplete: " + reason);
    }
}
