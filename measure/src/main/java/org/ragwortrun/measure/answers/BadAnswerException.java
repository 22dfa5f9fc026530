package org.ragwortrun.measure.answers;

import java.io.IOException;

/** Signals bytes that are no answer in the protocol. */
final class BadAnswerException extends IOException {
    private static final long serialVersionUID = 1;

    BadAnswerException(String message) {
        super(message);
    }

    BadAnswerException(String message, Throwable cause) {
        super(message, cause);
    }
}
